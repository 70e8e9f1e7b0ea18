"""The phases of a dispatcher from its start to its end, and which may follow which."""

from collections.abc import Callable
from enum import StrEnum


class Phase(StrEnum):
    """A phase; the value is its name in the log and in what operators are told."""

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
    """A phase was to be entered that does not follow the one of now."""

    def __init__(self, phase: Phase, wanted: Phase):
        """`phase`: the one of now."""
        super().__init__(f"no way from {phase} to {wanted}")


class Lifecycle:
    """Which phase a dispatcher is in."""

    def __init__(self, on_phase: Callable[[Phase], None]):
        """`on_phase` is called with each phase that is entered."""
        self.phase = Phase.STARTING
        self._on_phase = on_phase

    def enter(self, phase: Phase) -> None:
        """Goes on to a phase; PhaseOrderError where it does not follow."""
        if phase not in NEXT_PHASES[self.phase]:
            raise PhaseOrderError(self.phase, phase)
        self.phase = phase
        self._on_phase(phase)
