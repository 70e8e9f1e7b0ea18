"""The lifecycle phases of a dispatcher and the transitions between them."""

from collections.abc import Callable
from enum import StrEnum


class Phase(StrEnum):
    """A lifecycle phase; the value is its name in the log and in answers to operators."""

    STARTING = "starting"
    WAITING = "waiting for workers"
    SERVING = "serving"
    DRAINING = "draining"
    LEAVING = "leaving"
    FINISHING = "finishing"
    ENDED = "ended"


NEXT_PHASES = {
    Phase.STARTING: (Phase.WAITING,),
    Phase.WAITING: (Phase.SERVING, Phase.DRAINING, Phase.LEAVING),
    Phase.SERVING: (Phase.DRAINING, Phase.LEAVING),
    Phase.DRAINING: (Phase.WAITING, Phase.LEAVING),
    Phase.LEAVING: (Phase.FINISHING,),
    Phase.FINISHING: (Phase.ENDED,),
    Phase.ENDED: (),
}


class PhaseOrderError(RuntimeError):
    """The requested phase may not follow the current phase."""

    def __init__(self, current: Phase, requested: Phase):
        """Create the error for a transition from `current` to `requested`."""
        super().__init__(f"cannot go from phase {current} to {requested}")


class Lifecycle:
    """Holds the current phase of a dispatcher and enforces the order of phases."""

    def __init__(self, on_phase: Callable[[Phase], None]):
        """Start in Phase.STARTING; call `on_phase` with each phase that is entered."""
        self.phase = Phase.STARTING
        self._on_phase = on_phase

    def enter(self, phase: Phase) -> None:
        """Enter a phase; raise PhaseOrderError if it may not follow the current phase."""
        if phase not in NEXT_PHASES[self.phase]:
            raise PhaseOrderError(self.phase, phase)
        self.phase = phase
        self._on_phase(phase)
