"""An event loop whose time and readiness are controlled: nothing sleeps, and what is held isn't reported."""

from collections.abc import Callable

from mastledge.transport.loop import WRITE, Loop

MOST_TURNS = 5_000  # of a loop in which nothing comes to rest


class NeverIdleError(Exception):
    """Something goes on and on while no time passes."""


def no_activity() -> bool:
    """Stand for peers that do nothing."""
    return False


class ControlledClock:
    """A loop's clock that stands still while anything happens, and else jumps to what is due next.

    `at` is the time, in microseconds of the loop.
    """

    def __init__(self, loop: Loop) -> None:
        """Take over the clock of a loop, and count its steps."""
        self.loop, self.at, self.steps = loop, loop.now(), 0
        self.peers_due: Callable[[], int | None] = lambda: None  # when peers do something by themselves
        loop.now = lambda: self.at
        loop_step = loop.step

        def counted_step(*resumption):
            self.steps += 1
            loop_step(*resumption)

        loop.step = counted_step

    def settle(self, run_peers: Callable[[], bool] = no_activity) -> None:
        """Go on until nothing happens any more at this time; `run_peers` tells if peers did anything.

        Raises NeverIdleError.
        """
        idle_turns = turns = 0
        while idle_turns < 2:
            turns += 1
            if turns > MOST_TURNS:
                raise NeverIdleError
            before = self.steps
            self.loop.run_once(0)
            idle_turns = 0 if run_peers() or self.steps != before else idle_turns + 1

    def due(self) -> int | None:
        """Give when something is due next, None where nothing is."""
        due = [when for when, _, task, wait_number in self.loop.timers if wait_number == task.wait_number]
        peers_due = self.peers_due()
        return min(due if peers_due is None else [*due, peers_due], default=None)

    def run(
        self, until: Callable[[], bool], longest_us: int, run_peers: Callable[[], bool] = no_activity
    ) -> bool:
        """Go on until something holds, or for so long by this clock; whether it holds.

        Raises NeverIdleError.
        """
        last, turns = self.at + longest_us, 0
        while not until() and self.at < last:
            before, turns = self.steps, turns + 1
            self.loop.run_once(0)
            if run_peers() or self.steps != before:
                if turns > MOST_TURNS:
                    raise NeverIdleError
                continue
            turns = 0
            due = self.due()
            self.at = max(self.at, last if due is None else min(due, last))
        return until()


class ReadinessGate:
    """Between a loop and its epoll: while `held`, descriptors that wait to be written to aren't reported.

    Those for which `is_exempt` holds are.
    """

    def __init__(self, loop: Loop, is_exempt: Callable[[int], bool] = lambda fd: False) -> None:
        """Take the place of the loop's epoll."""
        self.epoll, self.masks, self.held, self.is_exempt = loop.epoll, loop.masks, False, is_exempt
        loop.epoll = self

    def poll(self, timeout: float, max_events: int) -> list[tuple[int, int]]:
        """Poll, without the descriptors that are held."""
        ready = self.epoll.poll(timeout, max_events)
        if not self.held:
            return ready
        return [pair for pair in ready if self.masks.get(pair[0]) != WRITE or self.is_exempt(pair[0])]

    def __getattr__(self, name: str) -> object:
        """Give all else of the epoll."""
        return getattr(self.epoll, name)
