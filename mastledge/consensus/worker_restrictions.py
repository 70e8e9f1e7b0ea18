"""Workers that an endpoint list restricts, which get no new jobs, and how members share restrictions.

A dispatcher sends no new jobs to a worker that a peer's newer list restricts. A peer's list never admits a
worker: a worker that is ready there only loses the restrictions from earlier states of that list.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from mastledge.consensus.messages import WorkerRestrictions

READY = "ready"  # the state of a worker that gets new jobs
MAX_REGISTRIES = 8  # registries whose lists are shared; one for each discovery source
MAX_RESTRICTED = 4096  # workers kept as draining or gone; beyond that the oldest are dropped


class ListUpdateKind(StrEnum):
    """The kind of an update: the whole list, the list saved by the previous run, or changes to the list."""

    WHOLE = "whole"
    CACHED = "cached"
    CHANGES = "changes"


WorkerStates = Sequence[tuple[str, str]]  # (worker, its state in the list)


class OwnRestrictions:
    """The workers that the endpoint list of this dispatcher's registry restricts."""

    def __init__(self):
        """Initialize without a list."""
        self.restricted: dict[str, str] = {}
        self.generation = 0

    def update(self, kind: str, entries: WorkerStates, generation: int | None) -> bool:
        """Apply a whole list or changes; return whether the list is newer than before.

        `generation` is the generation of the list, None if unknown.
        """
        if kind == ListUpdateKind.WHOLE:
            # A restricted worker that is missing from the list may be gone, so it stays restricted.
            listed = {worker for worker, _ in entries}
            self.restricted = {
                worker: state for worker, state in self.restricted.items() if worker not in listed
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
        """Return the message that shares these restrictions with members that use the same registry."""
        return WorkerRestrictions(registry, self.generation, sorted(self.restricted.items()))

    def kept_off_by(self, restrictions: WorkerRestrictions | None) -> frozenset[str]:
        """Return the workers that a peer's list restricts here; none once the local list is as new."""
        if restrictions is None or restrictions.generation <= self.generation:
            return frozenset()
        return frozenset(worker for worker, _ in restrictions.workers)


class WorkerChange(NamedTuple):
    """The latest state of a worker, and the list generation that set it."""

    state: str
    generation: int


class KnownList:
    """The known state of one registry's list, from the local watch or from peers, with recent changes."""

    def __init__(self):
        """Initialize without a list."""
        self.generation = 0
        self.oldest_generation = 0  # members behind this one get all restricted workers
        self.changes: dict[str, WorkerChange] = {}  # in order of change

    def update_own(self, kind: str, entries: WorkerStates, generation: int) -> None:
        """Apply a list or changes from the local registry."""
        if generation < self.generation or kind == ListUpdateKind.CHANGES and not self.generation:
            return  # changes cannot be applied without the list before them
        if kind == ListUpdateKind.CHANGES:
            self._record(entries, generation)
        else:
            self._replace(entries, generation)
        self.generation = generation

    def _replace(self, entries: WorkerStates, generation: int) -> None:
        listed = {worker for worker, _ in entries}
        unlisted = {
            worker: WorkerChange(state, generation)
            for worker, (state, _) in self.changes.items()
            if worker not in listed and state != READY
        }
        restricted = {worker: WorkerChange(state, generation) for worker, state in entries if state != READY}
        self.changes, self.oldest_generation = {**unlisted, **restricted}, generation

    def _record(self, entries: WorkerStates, generation: int) -> None:
        for worker, state in entries:
            self.changes.pop(worker, None)
            self.changes[worker] = WorkerChange(state, generation)
        while len(self.changes) > MAX_RESTRICTED:
            oldest = next(iter(self.changes))
            self.oldest_generation = max(self.oldest_generation, self.changes.pop(oldest).generation)

    def receive(self, restrictions: WorkerRestrictions) -> bool:
        """Apply restrictions from another member; return whether they were new."""
        if restrictions.generation <= self.generation or restrictions.since > self.generation:
            return False
        if not restrictions.since:
            self.changes, self.oldest_generation = {}, restrictions.generation
        self._record(restrictions.workers, restrictions.generation)
        self.generation = restrictions.generation
        return True

    def since(self, generation: int, registry: str) -> WorkerRestrictions:
        """Return the message that brings a member from `generation` to the current generation."""
        if generation < self.oldest_generation or not generation:
            workers = [(worker, state) for worker, (state, _) in self.changes.items() if state != READY]
            return WorkerRestrictions(registry, self.generation, workers)
        workers = [
            (worker, state) for worker, (state, changed_at) in self.changes.items() if changed_at > generation
        ]
        return WorkerRestrictions(registry, self.generation, workers, generation)

    def restricted_since(self, generation: int, registry: str) -> WorkerRestrictions:
        """Return the restrictions set after `generation`, for the local host."""
        workers = [
            (worker, state)
            for worker, (state, changed_at) in self.changes.items()
            if state != READY and changed_at > generation
        ]
        return WorkerRestrictions(registry, self.generation, sorted(workers))


class ListExchange:
    """The known lists of a member, and the generations that its peers have reported.

    A peer gets restrictions only if it still lacks generations that were known here when its restrictions
    were last computed: usually the peer's own watch is faster.
    """

    def __init__(self):
        """Initialize without lists."""
        self.registries: dict[str, KnownList] = {}
        self.peer_generations: dict[str, dict[str, int]] = {}  # latest report of each peer
        # Local generations when the restrictions for each peer were last computed.
        self.offered_generations: dict[str, dict[str, int]] = {}
        self.own_generations: dict[str, int] = {}  # latest from the local registry

    def update_own(self, registry: str, kind: str, entries: WorkerStates, generation: int | None) -> None:
        """Apply an update from the local registry; ignore it if the generation is unknown."""
        if generation is None or kind not in (
            ListUpdateKind.WHOLE,
            ListUpdateKind.CACHED,
            ListUpdateKind.CHANGES,
        ):
            return
        self._list_of(registry).update_own(kind, entries, generation)
        self.own_generations[registry] = generation

    def _list_of(self, registry: str) -> KnownList:
        if registry not in self.registries:
            if len(self.registries) >= MAX_REGISTRIES:
                del self.registries[next(iter(self.registries))]
            self.registries[registry] = KnownList()
        return self.registries[registry]

    def receive(self, restrictions: WorkerRestrictions) -> WorkerRestrictions | None:
        """Apply restrictions from another member; return those new to the local host, None if not new."""
        registry = restrictions.registry
        known = self._list_of(registry)
        if not known.receive(restrictions):
            return None
        return known.restricted_since(self.own_generations.get(registry, 0), registry)

    def generations(self) -> dict[str, int]:
        """Return the known generation of each list, by registry."""
        return {registry: known.generation for registry, known in self.registries.items()}

    def record_report(self, name: str, generations: dict[str, int]) -> None:
        """Record the list generations that another member has reported."""
        self.peer_generations[name] = generations

    def restrictions_for(self, name: str) -> list[WorkerRestrictions]:
        """Return the restrictions for a member that is still behind the generations it was offered before."""
        known, offered = self.peer_generations.get(name, {}), self.offered_generations.get(name, {})
        self.offered_generations[name] = self.generations()
        return [
            known_list.since(known.get(registry, 0), registry)
            for registry, known_list in self.registries.items()
            if known.get(registry, 0) < offered.get(registry, 0)
        ]

    def forget(self, name: str) -> None:
        """Forget a member that gets no more messages."""
        self.peer_generations.pop(name, None)
        self.offered_generations.pop(name, None)
