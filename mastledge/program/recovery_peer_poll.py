"""Asks some other dispatchers at the start for their load, and answers those that ask."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from mastledge.recovery.admission_ramp import AdmissionRamp, PeerLoad
from mastledge.recovery.messages import LoadQuery, LoadResponse, decode, encode

if TYPE_CHECKING:
    from mastledge.program.lifecycle import Program

MAX_POLLED = 5
POLL_INTERVAL_US = 50_000
FRAME_MARK = b"\xc1R"
"""Begins each message on a link; `program.fleet` tells it from other frames."""


class PeerLoadPoll:
    """Which dispatchers are asked, and what they have answered."""

    def __init__(self, program: "Program", name: str, ramp: AdmissionRamp, draw: Callable[[], float]):
        """`name`: of this dispatcher; `draw`: gives the next random number from 0 to 1."""
        self._program, self._name, self._ramp, self._draw = program, name, ramp, draw
        self._started_at = program.loop.now()
        self._next_poll_at = 0
        self._last_number = 0
        self._numbers: dict[str, int] = {}
        self._responses: dict[str, LoadResponse] = {}

    def is_complete(self) -> bool:
        """Whether all that were asked have answered; nobody to ask, not yet or ever, is not complete."""
        return bool(self._numbers) and len(self._responses) == len(self._numbers)

    def polled(self) -> list[str]:
        """The names of those that were asked."""
        return sorted(self._numbers)

    def answered(self) -> list[str]:
        """The names of those that have answered."""
        return sorted(self._responses)

    def poll(self, now: int) -> None:
        """Asks those that have not answered, again after an interval."""
        fleet = self._program.fleet
        if fleet is None or fleet.member is None or fleet.links is None or self._next_poll_at > now:
            return
        self._next_poll_at = now + POLL_INTERVAL_US
        if not self._numbers:
            self._choose(sorted(set(fleet.member.members()) - {self._name}))
        for name, number in self._numbers.items():
            if name not in self._responses:
                fleet.links.send(name, FRAME_MARK + encode(LoadQuery(number)))

    def _choose(self, others: list[str]) -> None:
        count = min(MAX_POLLED, len(others))
        while len(self._numbers) < count:
            name = others[int(self._draw() * len(others))]
            self._last_number += 1
            self._numbers.setdefault(name, self._last_number)

    def receive(self, name: str, content: bytes) -> None:
        """A message of the dispatcher `name`, without its mark; MessageError where it can't be read."""
        message = decode(content)
        if isinstance(message, LoadQuery):
            self._respond(name, message)
        elif self._numbers.get(name) == message.number:
            self._responses[name] = message
            loads = [PeerLoad(one.in_flight, one.unlimited) for one in self._responses.values()]
            self._ramp.use_peer_loads(loads)

    def _respond(self, name: str, query: LoadQuery) -> None:
        uptime_us = self._program.loop.now() - self._started_at
        response = LoadResponse(query.number, self._ramp.in_flight, not self._ramp.limited, uptime_us)
        self._program.fleet.links.send(name, FRAME_MARK + encode(response))
