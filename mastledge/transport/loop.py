"""Single-threaded event loop over select.epoll, with generators as coroutines.

A coroutine yields (descriptor or -1, epoll events, deadline or None). It is resumed with the events that
occurred, with 0 after the deadline, or with the value passed to wake(). Times are whole microseconds of the
monotonic clock.
"""

import select
import time
from collections import deque
from collections.abc import Callable, Generator
from heapq import heapify, heappop, heappush
from typing import Any

READ, WRITE, PEER_SHUTDOWN = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
CONNECTION_ENDED = PEER_SHUTDOWN | select.EPOLLHUP | select.EPOLLERR
MAX_EVENTS = 64  # per poll and iteration; bounds how long priority events wait
MIN_STALE_TIMERS = 256  # before the timer heap is compacted; fewer are not worth the work

Coroutine = Generator[tuple[int, int, int | None], Any, Any]


class Task:
    """Holds a coroutine of the loop and the state of its current wait."""

    __slots__ = ("coroutine", "fd", "wait_number", "mailbox", "ended", "has_timer", "epoll")

    def __init__(self, coroutine: Coroutine, epoll: select.epoll) -> None:
        """Create a task that has not started; its descriptors are registered with `epoll`."""
        self.coroutine, self.epoll = coroutine, epoll
        self.fd = -1  # descriptor that the task waits for, -1 for none
        # Identifies the current wait; timers and ready entries of earlier waits are stale.
        self.wait_number = 0
        self.mailbox = deque()
        self.ended = self.has_timer = False


class Loop:
    """Runs tasks when their descriptors become ready, their deadlines pass or other tasks wake them.

    An iteration runs the ready tasks, then handles events, then expired deadlines.
    """

    def __init__(self, on_error: Callable[[Exception], object]) -> None:
        """`on_error` is called with the exception that ended a coroutine."""
        self.epoll = select.epoll()
        self.priority_epoll = None  # descriptors of tasks spawned with `first`
        self.on_error = on_error
        self.waiters = {}  # task by descriptor
        self.masks = {}  # events registered with epoll, by descriptor
        self.closed_fds = set()  # closed in this iteration
        self.ready = deque()  # (task, wait number, value or the task's mailbox)
        self.timers = []  # heap of (deadline, timer number, task, wait number)
        self.timer_count = 0
        self.stale_timers = 0  # timers in the heap whose wait has ended
        self.running = True
        self.iterations = 0

    @staticmethod
    def now() -> int:
        """Return the monotonic clock in microseconds."""
        return time.monotonic_ns() // 1000

    def spawn(self, coroutine: Coroutine, first: bool = False) -> Task:
        """Start a coroutine. `first`: its events are handled before all others in each iteration."""
        if first and self.priority_epoll is None:
            self.priority_epoll = select.epoll()
            self.epoll.register(self.priority_epoll.fileno(), READ)
        task = Task(coroutine, self.priority_epoll if first else self.epoll)
        self.ready.append((task, task.wait_number, None))
        return task

    def wake(self, task: Task, value: Any = None) -> None:
        """Pass a value to a task, which resumes its current or next wait."""
        if task.ended:
            return
        task.mailbox.append(value)
        if len(task.mailbox) == 1:
            self.ready.append((task, task.wait_number, task.mailbox))

    def cancel(self, task: Task) -> None:
        """End a coroutine at its current wait; its finally clauses release its resources."""
        if not task.ended:
            self._end_wait(task)
            task.ended = True
            try:
                task.coroutine.close()
            except Exception as error:
                self.on_error(error)

    def forget(self, fd: int) -> None:
        """Drop a descriptor; call this before closing it, as its number may be reused at once."""
        self.masks.pop(fd, None)
        self.waiters.pop(fd, None)
        self.closed_fds.add(fd)

    def unregister(self, fd: int) -> None:
        """Drop a descriptor whose socket another process holds too; call this instead of forget().

        Closing such a socket does not remove it from epoll, which would go on reporting events under a number
        that may have been reused.
        """
        if fd in self.masks:
            self.epoll.unregister(fd)
        self.forget(fd)

    def step(self, task: Task, value: Any) -> None:
        """Resume a coroutine with a value and register its next wait."""
        self._end_wait(task)
        try:
            fd, mask, until = task.coroutine.send(value)
        except StopIteration:
            task.ended = True
            return
        except Exception as error:
            # An error ends only the task in which it was raised.
            task.ended = True
            self.on_error(error)
            return
        # Inlined, as this runs at every wait of every job.
        if fd >= 0:
            task.fd, self.waiters[fd] = fd, task
            registered_mask = self.masks.get(fd)
            if registered_mask != mask and not self._register(task, fd, mask, registered_mask):
                return
        if until is not None:
            self.timer_count += 1
            heappush(self.timers, (until, self.timer_count, task, task.wait_number))
            task.has_timer = True
        if task.mailbox:
            self.ready.append((task, task.wait_number, task.mailbox))

    def run_once(self, max_wait_us: int | None = None) -> None:
        """Run one iteration, waiting at most `max_wait_us` for events and deadlines; None: without limit."""
        ready = self.ready
        while ready:
            task, wait_number, value = ready.popleft()
            if task.ended or wait_number != task.wait_number:
                # The task was resumed since; step() then queued its mailbox again if it was not empty.
                continue
            self.step(task, value.popleft() if value is task.mailbox else value)
        self._compact_timers()
        self.iterations += 1
        wait = self._time_to_wait(max_wait_us)
        self.closed_fds.clear()
        events = self.epoll.poll(None if wait is None else wait / 1e6, MAX_EVENTS)
        if self.priority_epoll is not None:
            for fd, mask in self.priority_epoll.poll(0, MAX_EVENTS):
                self._dispatch(fd, mask, self.priority_epoll)
        for fd, mask in events:
            self._dispatch(fd, mask, self.epoll)
        self._expire_timers()

    def run(self) -> None:
        """Run iterations until `running` is False."""
        while self.running:
            self.run_once()

    def _end_wait(self, task):
        task.wait_number += 1
        if task.fd >= 0 and self.waiters.get(task.fd) is task:
            del self.waiters[task.fd]
        task.fd = -1
        if task.has_timer:
            task.has_timer = False
            self.stale_timers += 1

    def _register(self, task, fd, mask, registered_mask):
        """Register events of a descriptor with epoll; on failure cancel the task and return False."""
        try:
            (task.epoll.register if registered_mask is None else task.epoll.modify)(fd, mask)
        except OSError as error:
            # The kernel limits the number of registrations; other tasks are not affected.
            self.cancel(task)
            self.on_error(error)
            return False
        self.masks[fd] = mask
        return True

    def _dispatch(self, fd, events, epoll):
        if fd in self.closed_fds:
            return  # the event belongs to the closed descriptor, not to a new one with the same number
        task = self.waiters.get(fd)
        if task is not None:
            self.step(task, events)
        elif fd in self.masks:
            # No task waits for the descriptor, and epoll would report it in every iteration.
            epoll.unregister(fd)
            del self.masks[fd]

    def _compact_timers(self):
        """Remove stale timers, which would accumulate: most waits end long before their deadline."""
        if self.stale_timers > MIN_STALE_TIMERS and self.stale_timers > len(self.timers) // 2:
            self.timers = [timer for timer in self.timers if timer[3] == timer[2].wait_number]
            heapify(self.timers)
            self.stale_timers = 0

    def _time_to_wait(self, max_wait_us):
        """Return the microseconds until the next deadline, at most `max_wait_us`; None for no limit."""
        timers = self.timers
        while timers and timers[0][3] != timers[0][2].wait_number:
            heappop(timers)
            self.stale_timers -= 1
        if not timers:
            return max_wait_us
        remaining = max(0, timers[0][0] - self.now())
        return remaining if max_wait_us is None else min(max_wait_us, remaining)

    def _expire_timers(self):
        # step() does not replace the heap, so the local reference stays valid.
        timers, now = self.timers, self.now()
        while timers and timers[0][0] <= now:
            _, _, task, wait_number = heappop(timers)
            if wait_number == task.wait_number:
                task.has_timer = False
                self.step(task, 0)
            else:
                self.stale_timers -= 1


class Queue:
    """Queue with one reader task, the only path from sockets to the scheduler.

    Each kind of event has its own class, by which the reader dispatches.
    """

    def __init__(self, loop: Loop) -> None:
        """Create an empty queue; `reader` is set later to the task that reads it."""
        self.loop, self.items, self.reader = loop, deque(), None
        self.reader_woken = False

    def put(self, entry: Any) -> None:
        """Add an entry and wake the reader."""
        self.items.append(entry)
        if self.reader is not None and not self.reader_woken:
            self.reader_woken = True
            self.loop.wake(self.reader)

    def wait(self, until: int | None) -> Coroutine:
        """Return once the queue has an entry or the deadline has passed."""
        if not self.items:
            yield (-1, 0, until)
        self.reader_woken = False
