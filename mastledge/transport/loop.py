"""An event loop: generators as coroutines over select.epoll, in one thread.

A coroutine yields (descriptor or -1, epoll events, deadline or None) and is resumed with the events that
came, with 0 when the deadline has passed, or with what wake() handed it. Times are whole microseconds of the
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
MAX_EVENTS = 64  # taken up in an iteration: what goes ahead of the others waits for one iteration
MIN_STALE_TIMERS = 256  # fewer are not worth a compaction

Coroutine = Generator[tuple[int, int, int | None], Any, Any]


class Task:
    """A coroutine of the loop and the wait that it is in."""

    __slots__ = ("coroutine", "fd", "wait_number", "mailbox", "ended", "has_timer", "epoll")

    def __init__(self, coroutine: Coroutine, epoll: select.epoll) -> None:
        """A task that has not begun; `epoll` is where its descriptors are registered."""
        self.coroutine, self.epoll = coroutine, epoll
        self.fd = -1  # the descriptor it waits for, if any
        self.wait_number = 0  # tells a timer or a ready entry of an earlier wait from those of this one
        self.mailbox = deque()
        self.ended = self.has_timer = False


class Loop:
    """Runs tasks as their descriptors become ready, their deadlines pass or others wake them.

    An iteration takes up all that is ready, then events, then deadlines that have passed.
    """

    def __init__(self, on_error: Callable[[Exception], object]) -> None:
        """`on_error` is called with the exception that ended a coroutine."""
        self.epoll = select.epoll()
        self.priority_epoll = None  # descriptors of tasks spawned with `first`
        self.on_error = on_error
        self.waiters = {}  # task by descriptor
        self.masks = {}  # events by descriptor that epoll is asked for
        self.closed_fds = set()  # in this iteration
        self.ready = deque()  # (task, its wait, value or the task's mailbox)
        self.timers = []  # heap of (deadline, number of the timer, task, its wait)
        self.timer_count = 0
        self.stale_timers = 0  # of waits that have ended
        self.running = True
        self.iterations = 0

    @staticmethod
    def now() -> int:
        """The monotonic clock in microseconds."""
        return time.monotonic_ns() // 1000

    def spawn(self, coroutine: Coroutine, first: bool = False) -> Task:
        """Starts a coroutine. `first`: its descriptors are looked at before all others in each iteration."""
        if first and self.priority_epoll is None:
            self.priority_epoll = select.epoll()
            self.epoll.register(self.priority_epoll.fileno(), READ)
        task = Task(coroutine, self.priority_epoll if first else self.epoll)
        self.ready.append((task, task.wait_number, None))
        return task

    def wake(self, task: Task, value: Any = None) -> None:
        """Hands a value to a coroutine, now or when it next waits."""
        if task.ended:
            return
        task.mailbox.append(value)
        if len(task.mailbox) == 1:
            self.ready.append((task, task.wait_number, task.mailbox))

    def cancel(self, task: Task) -> None:
        """Ends a coroutine where it waits; its finally clauses give back what it held."""
        if not task.ended:
            self._end_wait(task)
            task.ended = True
            try:
                task.coroutine.close()
            except Exception as error:
                self.on_error(error)

    def forget(self, fd: int) -> None:
        """To be called before a descriptor is closed: its number may be another's at once."""
        self.masks.pop(fd, None)
        self.waiters.pop(fd, None)
        self.closed_fds.add(fd)

    def unregister(self, fd: int) -> None:
        """To be called in place of forget() where another process holds the socket too.

        The close does not end epoll's interest then, and it would go on reporting a number that is soon
        another's.
        """
        if fd in self.masks:
            self.epoll.unregister(fd)
        self.forget(fd)

    def step(self, task: Task, value: Any) -> None:
        """Resumes a coroutine with a value and takes up its next wait."""
        self._end_wait(task)
        try:
            fd, mask, until = task.coroutine.send(value)
        except StopIteration:
            task.ended = True
            return
        except Exception as error:
            # One connection's error is its own end and nobody else's.
            task.ended = True
            self.on_error(error)
            return
        # In line, as this runs at each wait of each job.
        if fd >= 0:
            task.fd, self.waiters[fd] = fd, task
            known = self.masks.get(fd)
            if known != mask and not self._watch(task, fd, mask, known):
                return
        if until is not None:
            self.timer_count += 1
            heappush(self.timers, (until, self.timer_count, task, task.wait_number))
            task.has_timer = True
        if task.mailbox:
            self.ready.append((task, task.wait_number, task.mailbox))

    def run_once(self, max_wait_us: int | None = None) -> None:
        """One iteration: what is ready, then events and deadlines, waiting for these so long at the most."""
        ready = self.ready
        while ready:
            task, wait_number, value = ready.popleft()
            if task.ended or wait_number != task.wait_number:
                # It was resumed for another reason meanwhile, so mail it had was seen when it next waited.
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
        """Iterates until `running` is False."""
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

    def _watch(self, task, fd, mask, known):
        """Asks epoll for events of a descriptor; False where it refuses and the task has been ended."""
        try:
            (task.epoll.register if known is None else task.epoll.modify)(fd, mask)
        except OSError as error:
            # The kernel watches only so many; the others go on.
            self.cancel(task)
            self.on_error(error)
            return False
        self.masks[fd] = mask
        return True

    def _dispatch(self, fd, events, epoll):
        if fd in self.closed_fds:
            return  # it was meant for who had this number when the kernel was asked
        task = self.waiters.get(fd)
        if task is not None:
            self.step(task, events)
        elif fd in self.masks:
            # Nobody waits for it now, and epoll would report it again and again.
            epoll.unregister(fd)
            del self.masks[fd]

    def _compact_timers(self):
        """Most waits end before their deadline, and what is due in minutes would pile up until then."""
        if self.stale_timers > MIN_STALE_TIMERS and self.stale_timers > len(self.timers) // 2:
            self.timers = [timer for timer in self.timers if timer[3] == timer[2].wait_number]
            heapify(self.timers)
            self.stale_timers = 0

    def _time_to_wait(self, max_wait_us):
        """Microseconds up to the next deadline, bounded; None for no bound."""
        timers = self.timers
        while timers and timers[0][3] != timers[0][2].wait_number:
            heappop(timers)
            self.stale_timers -= 1
        if not timers:
            return max_wait_us
        remaining = max(0, timers[0][0] - self.now())
        return remaining if max_wait_us is None else min(max_wait_us, remaining)

    def _expire_timers(self):
        # The heap as it is now: a step does not replace it.
        timers, now = self.timers, self.now()
        while timers and timers[0][0] <= now:
            _, _, task, wait_number = heappop(timers)
            if wait_number == task.wait_number:
                task.has_timer = False
                self.step(task, 0)
            else:
                self.stale_timers -= 1


class Queue:
    """Many put, one coroutine takes; the only way from sockets to the decisions.

    An entry is of a class of its own for each kind of news; who takes it goes by the class.
    """

    def __init__(self, loop: Loop) -> None:
        """An empty queue; `reader` is set to the task that takes from it."""
        self.loop, self.items, self.reader = loop, deque(), None
        self.reader_woken = False

    def put(self, entry: Any) -> None:
        """Adds an entry and wakes the reader."""
        self.items.append(entry)
        if self.reader is not None and not self.reader_woken:
            self.reader_woken = True
            self.loop.wake(self.reader)

    def wait(self, until: int | None) -> Coroutine:
        """Returns once something is there or the deadline has passed."""
        if not self.items:
            yield (-1, 0, until)
        self.reader_woken = False
