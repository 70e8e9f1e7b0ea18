"""What members are heard to have promised, so that one whose disk has lost some of it is noticed."""

from typing import NamedTuple


class Observation(NamedTuple):
    """The highest term, and log position, that an incarnation's disk must know."""

    incarnation: str
    term: int
    last_term: int
    last_index: int


class ObservedState:
    """Observations by the name of the member."""

    def __init__(self):
        """Begin without any."""
        self.observations: dict[str, Observation] = {}

    def clear(self) -> None:
        """Another fleet begins."""
        self.observations = {}

    def of(self, name: str, incarnation: str) -> Observation:
        """Return what is known of this incarnation; zeros for nothing."""
        known = self.observations.get(name)
        if known is not None and known.incarnation == incarnation:
            return known
        return Observation(incarnation, 0, 0, 0)

    def record(self, name: str, observed: Observation) -> None:
        """Take over something heard; the highest of each counts."""
        known = self.of(name, observed.incarnation)
        position = max((known.last_term, known.last_index), (observed.last_term, observed.last_index))
        term = max(known.term, observed.term)
        self.observations[name] = Observation(observed.incarnation, term, *position)
