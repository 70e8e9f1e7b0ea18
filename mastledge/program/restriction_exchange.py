"""Which workers the endpoint lists of dispatchers restrict: told to the others, and taken from them."""

from collections.abc import Callable, Generator, Iterable
from typing import TYPE_CHECKING

from mastledge.consensus import inputs
from mastledge.consensus.messages import WorkerRestrictions
from mastledge.consensus.worker_restrictions import OwnRestrictions

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

SHARE_INTERVAL_US = 2_500_000  # between two times that the same restrictions are told


class RestrictionExchange:
    """Tells the others of the same registry what its list restricts here, and keeps off whom theirs do."""

    def __init__(
        self,
        program: "Dispatcher",
        registry: str,
        step: Callable[[inputs.Input], None],
        log: Callable[..., None],
    ) -> None:
        """`registry` is "" where discovery's address stands for it; `step` hands the member an input."""
        self.program, self.loop, self.log = program, program.loop, log
        self.configured_registry, self.step = registry, step
        self.own = OwnRestrictions()
        self.received: WorkerRestrictions | None = None  # the newest of another's

    def registry(self) -> str:
        """The name under which dispatchers know that they go by the same list."""
        host, port = self.program.configuration["discovery"]
        return self.configured_registry or f"{host}:{port}"

    def list_updated(self, kind: str, entries: Iterable[tuple]) -> None:
        """Take what this dispatcher's own registry has told; entries as the decisions get them."""
        states = [(entry[0], entry[3]) for entry in entries]
        generation = self.program.discovery.generation
        self.step(inputs.EndpointListUpdate(self.registry(), kind, states, generation))
        if self.own.update(kind, states, generation):
            self._share()
        self._apply()

    def receive(self, restrictions: WorkerRestrictions) -> None:
        """Take what another's registry restricts; another registry, or an older list, changes nothing."""
        if restrictions.registry != self.registry():
            return
        if self.received is None or restrictions.generation >= self.received.generation:
            self.received = restrictions
            self._apply()

    def share_repeatedly(self) -> Generator:
        """Coroutine: tells the others again and again, as messages may be lost."""
        while True:
            yield (-1, 0, self.loop.now() + SHARE_INTERVAL_US)
            if self.own.generation and self.own.restricted and self.program.discovery.answered:
                self._share()

    def _share(self) -> None:
        self.step(inputs.ShareRestrictions(self.own.to_message(self.registry())))

    def _apply(self) -> None:
        """Another's newer list keeps off whom it restricts, until one's own is as new."""
        kept_off = self.own.kept_off_by(self.received)
        if kept_off == self.program.excluded.restricted_by_fleet:
            return
        self.log(
            "workers_restricted_by_peers",
            out=sorted(kept_off),
            generation=self.received and self.received.generation,
            own=self.own.generation,
        )
        self.program.excluded.restricted_by_fleet = kept_off
        self.program.refresh_excluded_workers()
