"""The stages of a start, each bounded in time, and the degraded service where a stage is given up.

Nothing here waits: the host reports which stages are complete and asks which one the start is at. All times
are whole microseconds of one monotonic clock.
"""

from enum import Enum


class StartupStage(Enum):
    """The stages in their order. The values are what operators and the log are shown."""

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
"""Time after which a stage is given up. Ramping up has its own bound, in `admission_ramp`."""

DEGRADED_SERVICE = {
    StartupStage.READING_STATE: "without what its folder holds",
    StartupStage.AWAITING_LEASE: "nothing is launched, what comes is rejected",
    StartupStage.AWAITING_ENDPOINT_LIST: "by the list that was held before",
    StartupStage.POLLING_PEERS: "without the others' load",
}
"""What operators are told of a stage that was given up."""

MANDATORY_STAGES = frozenset({StartupStage.AWAITING_LEASE})
"""Stages that are reported as degraded after their timeout but not passed: without a lease nothing may be
launched."""


class StartupStages:
    """The stage that a start is at, what it waits for, and which stages were given up."""

    def __init__(self, now: int, needs_lease: bool):
        """A start that begins at `now`; `needs_lease`: the dispatcher is a member of a fleet."""
        self.stage = StartupStage.READING_STATE
        self.stage_began_at = now
        self.degraded: dict[StartupStage, str] = {}
        self._needs_lease = needs_lease
        self._durations_us: dict[StartupStage, int] = {}
        self._complete: dict[StartupStage, bool] = {}
        self._waits_for: dict[StartupStage, str] = {}

    def report(self, stage: StartupStage, complete: bool, waits_for: str = "") -> None:
        """Records whether a stage is complete, and if not what it waits for."""
        self._complete[stage] = complete
        self._waits_for[stage] = waits_for

    def advance(self, now: int) -> StartupStage:
        """Passes all stages that are complete or given up; the stage that the start is at then."""
        while self.stage != StartupStage.OPEN and self._may_pass(now):
            self._durations_us[self.stage] = now - self.stage_began_at
            self.stage = STAGE_ORDER[STAGE_ORDER.index(self.stage) + 1]
            self.stage_began_at = now
        # A stage that was given up may become complete later.
        late = [stage for stage in self.degraded if self._complete.get(stage)]
        for stage in late:
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
        """Whether jobs may be admitted, if only a few."""
        return self.stage in (StartupStage.RAMPING_UP, StartupStage.OPEN)

    def waiting_for(self) -> str:
        """The stage and what it waits for; "" once the start is over."""
        if self.stage == StartupStage.OPEN:
            return ""
        detail = self._waits_for.get(self.stage, "")
        return f"{self.stage.value}: {detail}" if detail else self.stage.value

    def figures(self, now: int) -> dict:
        """What operators are shown; the names are those of `/api/recovery`."""
        return {
            "step": self.stage.value,
            "for_ms": (now - self.stage_began_at) // 1000,
            "waits_for": self.waiting_for(),
            "lesser_service": list(self.degraded.values()),
            "took_ms": {stage.value: duration // 1000 for stage, duration in self._durations_us.items()},
        }
