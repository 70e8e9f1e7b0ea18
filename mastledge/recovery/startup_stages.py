"""The stages of a start, each with a timeout, and the degraded service after a stage timed out.

Nothing here waits: the caller reports which stages are complete and asks for the current stage. All times are
whole microseconds of one monotonic clock.
"""

from enum import Enum


class StartupStage(Enum):
    """The stages in order. The values are shown to operators and in the log."""

    READING_STATE = "reading what lasts"
    AWAITING_LEASE = "agreeing"
    AWAITING_ENDPOINT_LIST = "hearing the list"
    POLLING_PEERS = "taking over"
    RAMPING_UP = "opening"
    OPEN = "open"


STAGE_ORDER = tuple(StartupStage)

STAGE_TIMEOUT_US = {
    StartupStage.READING_STATE: 2_000_000,
    StartupStage.AWAITING_LEASE: 3_000_000,
    StartupStage.AWAITING_ENDPOINT_LIST: 250_000,
    StartupStage.POLLING_PEERS: 200_000,
}
"""Timeouts of the stages, except ramping up, which is bounded in `admission_ramp`."""

DEGRADED_SERVICE = {
    StartupStage.READING_STATE: "without what its folder holds",
    StartupStage.AWAITING_LEASE: "nothing is launched, what comes is rejected",
    StartupStage.AWAITING_ENDPOINT_LIST: "by the list that was held before",
    StartupStage.POLLING_PEERS: "without the others' load",
}
"""Descriptions, for operators, of the degraded service after a stage timed out."""

MANDATORY_STAGES = frozenset({StartupStage.AWAITING_LEASE})
"""Stages that are not passed at their timeout, only reported as degraded: no launch without a lease."""


class StartupStages:
    """Tracks the current stage of a start, what it waits for, and the stages that timed out."""

    def __init__(self, now: int, needs_lease: bool):
        """Begin a start at `now`; `needs_lease`: the dispatcher is a member of a fleet."""
        self.stage = StartupStage.READING_STATE
        self.stage_began_at = now
        self.degraded: dict[StartupStage, str] = {}
        self._needs_lease = needs_lease
        self._durations_us: dict[StartupStage, int] = {}
        self._complete: dict[StartupStage, bool] = {}
        self._waits_for: dict[StartupStage, str] = {}

    def report(self, stage: StartupStage, complete: bool, waits_for: str = "") -> None:
        """Record whether a stage is complete, and if not, what it waits for."""
        self._complete[stage] = complete
        self._waits_for[stage] = waits_for

    def advance(self, now: int) -> StartupStage:
        """Pass all stages that are complete or timed out, and return the current stage."""
        while self.stage != StartupStage.OPEN and self._may_pass(now):
            self._durations_us[self.stage] = now - self.stage_began_at
            self.stage = STAGE_ORDER[STAGE_ORDER.index(self.stage) + 1]
            self.stage_began_at = now
        # A stage that timed out may become complete later.
        completed_late = [stage for stage in self.degraded if self._complete.get(stage)]
        for stage in completed_late:
            del self.degraded[stage]
        return self.stage

    def _may_pass(self, now: int) -> bool:
        stage = self.stage
        not_needed = stage == StartupStage.AWAITING_LEASE and not self._needs_lease
        if not_needed or self._complete.get(stage):
            self.degraded.pop(stage, None)
            return True
        if stage not in STAGE_TIMEOUT_US or now < self.stage_began_at + STAGE_TIMEOUT_US[stage]:
            return False
        self.degraded[stage] = DEGRADED_SERVICE[stage]
        return stage not in MANDATORY_STAGES

    def may_serve(self) -> bool:
        """Return whether jobs may be admitted, even if the ramp limits them."""
        return self.stage in (StartupStage.RAMPING_UP, StartupStage.OPEN)

    def waiting_for(self) -> str:
        """Return the stage and what it waits for, or "" once the start is over."""
        if self.stage == StartupStage.OPEN:
            return ""
        detail = self._waits_for.get(self.stage, "")
        return f"{self.stage.value}: {detail}" if detail else self.stage.value

    def figures(self, now: int) -> dict:
        """Return the figures for operators; the keys are those of `/api/recovery`."""
        return {
            "step": self.stage.value,
            "for_ms": (now - self.stage_began_at) // 1000,
            "waits_for": self.waiting_for(),
            "lesser_service": list(self.degraded.values()),
            "took_ms": {stage.value: duration // 1000 for stage, duration in self._durations_us.items()},
        }
