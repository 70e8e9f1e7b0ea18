"""The exchange of worker restrictions, from their endpoint lists, between the dispatchers of a fleet."""

from collections.abc import Callable, Generator, Iterable
from typing import TYPE_CHECKING

from mastledge.consensus import inputs
from mastledge.consensus.messages import WorkerRestrictions
from mastledge.consensus.worker_restrictions import OwnRestrictions

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

SHARE_INTERVAL_US = 2_500_000  # between repeated messages with the same restrictions


class RestrictionExchange:
    """Shares the local restrictions, and applies newer ones of dispatchers with the same registry."""

    def __init__(
        self,
        program: "Dispatcher",
        registry: str,
        step: Callable[[inputs.Input], None],
        log: Callable[..., None],
    ) -> None:
        """Take the registry's name, "" for the address of discovery; `step` passes an input to the member."""
        self.program, self.loop, self.log = program, program.loop, log
        self.configured_registry, self.step = registry, step
        self.local_restrictions = OwnRestrictions()
        self.received: WorkerRestrictions | None = None  # the newest from another dispatcher

    def registry(self) -> str:
        """Return the name that dispatchers compare to see whether they use the same endpoint list."""
        host, port = self.program.configuration["discovery"]
        return self.configured_registry or f"{host}:{port}"

    def list_updated(self, kind: str, entries: Iterable[tuple]) -> None:
        """Take an update of this dispatcher's registry; `entries` are as the scheduler takes them."""
        states = [(entry[0], entry[3]) for entry in entries]
        generation = self.program.discovery.generation
        self.step(inputs.EndpointListUpdate(self.registry(), kind, states, generation))
        if self.local_restrictions.update(kind, states, generation):
            self._share()
        self._apply()

    def receive(self, restrictions: WorkerRestrictions) -> None:
        """Take restrictions of another dispatcher; ignore those of another registry or of an older list."""
        if restrictions.registry != self.registry():
            return
        if self.received is None or restrictions.generation >= self.received.generation:
            self.received = restrictions
            self._apply()

    def share_repeatedly(self) -> Generator:
        """Send the restrictions periodically, as messages may be lost; an endless coroutine."""
        while True:
            yield (-1, 0, self.loop.now() + SHARE_INTERVAL_US)
            if (
                self.local_restrictions.generation
                and self.local_restrictions.restricted
                and self.program.discovery.answered
            ):
                self._share()

    def _share(self) -> None:
        self.step(inputs.ShareRestrictions(self.local_restrictions.to_message(self.registry())))

    def _apply(self) -> None:
        """Exclude workers restricted by another dispatcher's newer list, until the local list is as new."""
        excluded = self.local_restrictions.kept_off_by(self.received)
        if excluded == self.program.excluded.restricted_by_fleet:
            return
        self.log(
            "workers_restricted_by_peers",
            out=sorted(excluded),
            generation=self.received and self.received.generation,
            own=self.local_restrictions.generation,
        )
        self.program.excluded.restricted_by_fleet = excluded
        self.program.refresh_excluded_workers()
