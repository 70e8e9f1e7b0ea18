"""Terms and log positions seen in messages of members, which reveal a disk that has lost records."""

from typing import NamedTuple


class Observation(NamedTuple):
    """The highest term and log position that an incarnation must have on disk."""

    incarnation: str
    term: int
    last_term: int
    last_index: int


class ObservedState:
    """The observations of each member, by name."""

    def __init__(self):
        """Initialize without observations."""
        self.observations: dict[str, Observation] = {}

    def clear(self) -> None:
        """Discard all observations, when another fleet starts."""
        self.observations = {}

    def of(self, name: str, incarnation: str) -> Observation:
        """Return the observation of an incarnation; term and position are 0 if unknown."""
        known = self.observations.get(name)
        if known is not None and known.incarnation == incarnation:
            return known
        return Observation(incarnation, 0, 0, 0)

    def record(self, name: str, observed: Observation) -> None:
        """Merge an observation: the highest term and the highest log position are kept."""
        known = self.of(name, observed.incarnation)
        position = max((known.last_term, known.last_index), (observed.last_term, observed.last_index))
        term = max(known.term, observed.term)
        self.observations[name] = Observation(observed.incarnation, term, *position)
