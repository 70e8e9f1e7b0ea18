"""Queries some other dispatchers for their load during the start, and answers such queries."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from mastledge.recovery.admission_ramp import AdmissionRamp, PeerLoad
from mastledge.recovery.messages import LoadQuery, LoadResponse, decode, encode

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

MAX_POLLED = 5
POLL_INTERVAL_US = 50_000
FRAME_MARK = b"\xc1R"
"""Starts each frame of this poll on a link; `program.fleet` routes frames by it."""


class PeerLoadPoll:
    """Holds which dispatchers were queried, and their responses."""

    def __init__(self, dispatcher: "Dispatcher", name: str, ramp: AdmissionRamp, draw: Callable[[], float]):
        """Take the name of this dispatcher; `draw` returns the next random number from 0 to 1."""
        self._dispatcher, self._name, self._ramp, self._draw = dispatcher, name, ramp, draw
        self._started_at = dispatcher.loop.now()
        self._next_poll_at = 0
        self._last_number = 0
        self._numbers: dict[str, int] = {}
        self._responses: dict[str, LoadResponse] = {}

    def is_complete(self) -> bool:
        """Return whether every queried dispatcher has answered; False if none was queried."""
        return bool(self._numbers) and len(self._responses) == len(self._numbers)

    def polled(self) -> list[str]:
        """Return the sorted names of the queried dispatchers."""
        return sorted(self._numbers)

    def answered(self) -> list[str]:
        """Return the sorted names of the dispatchers that have answered."""
        return sorted(self._responses)

    def poll(self, now: int) -> None:
        """Query the dispatchers that have not answered, at most once in `POLL_INTERVAL_US`."""
        fleet = self._dispatcher.fleet
        if fleet is None or fleet.member is None or fleet.links is None or self._next_poll_at > now:
            return
        self._next_poll_at = now + POLL_INTERVAL_US
        if not self._numbers:
            self._choose_peers(sorted(set(fleet.member.state.members()) - {self._name}))
        for name, number in self._numbers.items():
            if name not in self._responses:
                fleet.links.send(name, FRAME_MARK + encode(LoadQuery(number)))

    def _choose_peers(self, others: list[str]) -> None:
        count = min(MAX_POLLED, len(others))
        while len(self._numbers) < count:
            name = others[int(self._draw() * len(others))]
            self._last_number += 1
            self._numbers.setdefault(name, self._last_number)

    def receive(self, name: str, content: bytes) -> None:
        """Handle a message of the dispatcher `name`, without its prefix; raise MessageError if malformed."""
        message = decode(content)
        if isinstance(message, LoadQuery):
            self._respond(name, message)
        elif self._numbers.get(name) == message.number:
            self._responses[name] = message
            loads = [PeerLoad(peer.in_flight, peer.unlimited) for peer in self._responses.values()]
            self._ramp.use_peer_loads(loads)

    def _respond(self, name: str, query: LoadQuery) -> None:
        uptime_us = self._dispatcher.loop.now() - self._started_at
        response = LoadResponse(query.number, self._ramp.in_flight, not self._ramp.limited, uptime_us)
        self._dispatcher.fleet.links.send(name, FRAME_MARK + encode(response))
