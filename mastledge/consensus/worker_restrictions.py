"""Which workers an endpoint list keeps from new jobs, and who has to hear of it.

A dispatcher keeps off the workers that a newer list than its own restricts. A newer list never lets anybody
in: a worker that it has as ready is only no longer kept off by what it said before.
"""

from collections.abc import Sequence
from enum import StrEnum

from mastledge.consensus.messages import WorkerRestrictions

READY = "ready"  # the state of a worker that gets new jobs
MAX_REGISTRIES = 8  # whose lists are passed on; one for each discovery that dispatchers go by
MAX_RESTRICTED = 4096  # workers that are draining or gone; the oldest ones are forgotten beyond that


class ListUpdateKind(StrEnum):
    """What a registry has told: its whole list, the one that was kept of the last run, or a change."""

    WHOLE = "whole"
    CACHED = "cached"
    CHANGES = "changes"


WorkerStates = Sequence[tuple[str, str]]  # (worker, its state in the list)


class OwnRestrictions:
    """Whom the list of a dispatcher's own registry restricts."""

    def __init__(self):
        """Begin without a list."""
        self.restricted: dict[str, str] = {}
        self.generation = 0

    def update(self, kind: str, entries: WorkerStates, generation: int | None) -> bool:
        """Take over a whole list or a change; return whether it is a newer one.

        `generation` is that of the list, None where it is not known.
        """
        if kind == ListUpdateKind.WHOLE:
            # Who is not named any more may be gone, and stays restricted.
            named = {worker for worker, _ in entries}
            self.restricted = {
                worker: state for worker, state in self.restricted.items() if worker not in named
            }
        for worker, state in entries:
            self._set_state(worker, state)
        if generation is None or kind not in (ListUpdateKind.WHOLE, ListUpdateKind.CHANGES):
            return False
        newer, self.generation = generation > self.generation, generation
        return newer

    def _set_state(self, worker: str, state: str) -> None:
        if state == READY:
            self.restricted.pop(worker, None)
            return
        self.restricted[worker] = state
        if len(self.restricted) > MAX_RESTRICTED:
            del self.restricted[next(iter(self.restricted))]

    def to_message(self, registry: str) -> WorkerRestrictions:
        """Return what others of the same registry have to hear."""
        return WorkerRestrictions(registry, self.generation, sorted(self.restricted.items()))

    def kept_off_by(self, restrictions: WorkerRestrictions | None) -> frozenset[str]:
        """Return whom another's list keeps off here: nobody once the own list is as new."""
        if restrictions is None or restrictions.generation <= self.generation:
            return frozenset()
        return frozenset(worker for worker, _ in restrictions.workers)


class ListKnowledge:
    """What is known of one registry's list, by the own watch or by others: who has changed since when."""

    def __init__(self):
        """Begin without a list."""
        self.generation = 0
        self.oldest_generation = 0  # who has not heard this one gets all that are restricted
        self.changes: dict[str, tuple[str, int]] = {}  # (state, generation), the latest change last

    def update_own(self, kind: str, entries: WorkerStates, generation: int) -> None:
        """Take over what the own registry has told, a list or a change of it."""
        if generation < self.generation or kind == ListUpdateKind.CHANGES and not self.generation:
            return  # nobody knows what a change alone follows
        if kind == ListUpdateKind.CHANGES:
            self._record(entries, generation)
        else:
            self._replace(entries, generation)
        self.generation = generation

    def _replace(self, entries: WorkerStates, generation: int) -> None:
        named = {worker for worker, _ in entries}
        unnamed = {
            worker: (state, generation)
            for worker, (state, _) in self.changes.items()
            if worker not in named and state != READY
        }
        restricted = {worker: (state, generation) for worker, state in entries if state != READY}
        self.changes, self.oldest_generation = {**unnamed, **restricted}, generation

    def _record(self, entries: WorkerStates, generation: int) -> None:
        for worker, state in entries:
            self.changes.pop(worker, None)
            self.changes[worker] = state, generation
        while len(self.changes) > MAX_RESTRICTED:
            oldest = next(iter(self.changes))
            self.oldest_generation = max(self.oldest_generation, self.changes.pop(oldest)[1])

    def receive(self, restrictions: WorkerRestrictions) -> bool:
        """Take over what another member tells; return whether that was new here."""
        if restrictions.generation <= self.generation or restrictions.since > self.generation:
            return False
        if not restrictions.since:
            self.changes, self.oldest_generation = {}, restrictions.generation
        self._record(restrictions.workers, restrictions.generation)
        self.generation = restrictions.generation
        return True

    def since(self, generation: int, registry: str) -> WorkerRestrictions:
        """Return what a member has to hear that knows a generation."""
        if generation < self.oldest_generation or not generation:
            workers = [(worker, state) for worker, (state, _) in self.changes.items() if state != READY]
            return WorkerRestrictions(registry, self.generation, workers)
        workers = [(worker, state) for worker, (state, at) in self.changes.items() if at > generation]
        return WorkerRestrictions(registry, self.generation, workers, generation)

    def restricted_since(self, generation: int, registry: str) -> WorkerRestrictions:
        """Return who is restricted by what came after a generation, for the own host."""
        workers = [
            (worker, state)
            for worker, (state, at) in self.changes.items()
            if state != READY and at > generation
        ]
        return WorkerRestrictions(registry, self.generation, sorted(workers))


class ListExchange:
    """What a member knows of lists, and what each of those that it speaks to knows.

    Nothing is told to who was not behind the last time: mostly its own watch tells it meanwhile.
    """

    def __init__(self):
        """Begin without lists."""
        self.registries: dict[str, ListKnowledge] = {}
        self.peer_generations: dict[str, dict[str, int]] = {}  # as each peer has reported them
        self.offered_generations: dict[str, dict[str, int]] = {}  # as they were here when it was last told
        self.own_generations: dict[str, int] = {}  # as the own registry has told them

    def update_own(self, registry: str, kind: str, entries: WorkerStates, generation: int | None) -> None:
        """Take over what the own registry has told; nothing where the generation is not known."""
        if generation is None or kind not in (
            ListUpdateKind.WHOLE,
            ListUpdateKind.CACHED,
            ListUpdateKind.CHANGES,
        ):
            return
        self._list_of(registry).update_own(kind, entries, generation)
        self.own_generations[registry] = generation

    def _list_of(self, registry: str) -> ListKnowledge:
        if registry not in self.registries:
            if len(self.registries) >= MAX_REGISTRIES:
                del self.registries[next(iter(self.registries))]
            self.registries[registry] = ListKnowledge()
        return self.registries[registry]

    def receive(self, restrictions: WorkerRestrictions) -> WorkerRestrictions | None:
        """Take over what another member tells; return what is new to the own host, None if nothing is."""
        registry = restrictions.registry
        known = self._list_of(registry)
        if not known.receive(restrictions):
            return None
        return known.restricted_since(self.own_generations.get(registry, 0), registry)

    def generations(self) -> dict[str, int]:
        """Return up to which generation each list is known here."""
        return {registry: known.generation for registry, known in self.registries.items()}

    def record_report(self, name: str, generations: dict[str, int]) -> None:
        """Take over up to which generation another member knows each list."""
        self.peer_generations[name] = generations

    def restrictions_for(self, name: str) -> list[WorkerRestrictions]:
        """Return what to tell a member that is still behind what it could have heard the last time."""
        known, offered = self.peer_generations.get(name, {}), self.offered_generations.get(name, {})
        self.offered_generations[name] = self.generations()
        return [
            one.since(known.get(registry, 0), registry)
            for registry, one in self.registries.items()
            if known.get(registry, 0) < offered.get(registry, 0)
        ]

    def forget(self, name: str) -> None:
        """A member is not spoken to any more."""
        self.peer_generations.pop(name, None)
        self.offered_generations.pop(name, None)
