"""A loop whose time and readiness are steered: nothing sleeps, and what is held is not told of."""

from mastledge.transport.loop import WRITE

MOST = 5_000  # turns of a loop in which nothing comes to rest


class Restless(Exception):
    """Something goes on and on while no time passes."""


class Steered:
    """A loop's clock that stands still while anything happens, and else jumps to what is due next."""

    def __init__(self, loop):
        self.loop, self.at, self.steps, step = loop, loop.now(), 0, loop.step
        self.peers_due = lambda: None  # when peers do something by themselves
        loop.now = lambda: self.at

        def counted(*what):
            self.steps += 1
            step(*what)

        loop.step = counted

    def settle(self, meanwhile=lambda: False):
        """Until nothing happens any more at this time; `meanwhile` tells if peers did a thing."""
        idle = turns = 0
        while idle < 2:
            turns += 1
            if turns > MOST:
                raise Restless
            before = self.steps
            self.loop.run_once(0)
            idle = 0 if meanwhile() or self.steps != before else idle + 1

    def due(self):
        """When something is due next, None where nothing is."""
        due = [when for when, _, task, wait_number in self.loop.timers if wait_number == task.wait_number]
        theirs = self.peers_due()
        return min(due if theirs is None else [*due, theirs], default=None)

    def run(self, until, longest, meanwhile=lambda: False):
        """Until something holds, or for so long by that clock."""
        last, turns = self.at + longest, 0
        while not until() and self.at < last:
            before, turns = self.steps, turns + 1
            self.loop.run_once(0)
            if meanwhile() or self.steps != before:
                if turns > MOST:
                    raise Restless
                continue
            turns = 0
            due = self.due()
            self.at = max(self.at, last if due is None else min(due, last))
        return until()


class Readiness:
    """Between a loop and its epoll: where `held`, none but those it spares are told as ones to write to."""

    def __init__(self, loop, spares=lambda fd: False):
        self.epoll, self.masks, self.held, self.spares = loop.epoll, loop.masks, False, spares
        loop.epoll = self

    def poll(self, timeout, most):
        came = self.epoll.poll(timeout, most)
        if not self.held:
            return came
        return [pair for pair in came if self.masks.get(pair[0]) != WRITE or self.spares(pair[0])]

    def __getattr__(self, name):
        return getattr(self.epoll, name)
