"""The limit of jobs in flight after a start, and during an overload that retries sustain.

The limit starts at half of this dispatcher's share of the workers' slots and grows with the jobs that
complete, as in slow start and additive increase of TCP (RFC 5681), with jobs in place of segments. A job
above the limit is rejected at once, before any part of it is sent to a worker. Once the limit has reached
the share plus a margin for random bursts, or no job was rejected for a second, the limit is lifted, and only
the scheduler sheds load.

If retries sustain an overload after its cause is gone (Bronson et al., "Metastable failures in distributed
systems", HotOS 2021), less than half of the admitted jobs complete. Then the limit is in force again, at the
share. While it is in force, first attempts come before retries: a retry is admitted only while less than four
fifths of the share are in flight.

All times are whole microseconds of one monotonic clock.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

INITIAL_FRACTION = 0.5
"""Fraction of the share of slots: the initial limit, while the load of other dispatchers is unknown."""
MIN_FRACTION = 0.5
"""Fraction of the share of slots: the lowest limit during a start."""
BURST_ROOTS = 3.0
"""The full limit exceeds the share by this multiple of its square root, for bursts of Poisson arrivals."""
DECREASE_FACTOR = 0.75
"""Factor on the limit when the scheduler rejects an admitted job."""
RETRY_FRACTION = 0.8
"""Fraction of the share of slots: with more jobs in flight, no retry is admitted."""
MAX_RECENT_OUTCOMES = 32
OUTCOME_AGE_US = 4_000_000
"""Outcomes older than this are discarded."""
MIN_OUTCOMES = 8
"""With fewer recent outcomes, no overload is detected."""
HEALTHY_FRACTION = 0.5
"""Fraction of the recent outcomes: if fewer of them are completed jobs, there is an overload."""
REJECTION_WINDOW_US = 1_000_000
"""Window over which rejections are counted for `Retry-After`."""
QUIET_US = 1_000_000
"""Time without a rejection after which the limit is lifted."""
MIN_RETRY_AFTER_US = 20_000
RUN_TIME_GAIN = 0.125
"""Weight of a new run time in the smoothed run time."""


class AdmittedJobOutcome(Enum):
    """The outcome of an admitted job."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    """Rejected by the scheduler, before any worker ran it."""
    FAILED = "failed"
    """Any other end: killed, lost, or its client disconnected."""


class LimitReason(Enum):
    """Why a limit is in force; operators are shown the values."""

    NONE = ""
    START = "start"
    OVERLOAD = "overload"


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """The jobs that another dispatcher has in flight, and whether it admits jobs without a limit."""

    in_flight: int
    unlimited: bool


@dataclass(slots=True)
class AdmissionCounts:
    """Counts of events since the start of the process."""

    admitted: int = 0
    rejected_first_attempts: int = 0
    rejected_retries: int = 0
    overloads: int = 0
    limits_lifted: int = 0


class AdmissionRamp:
    """Limits the jobs in flight, by the slots of the workers and the outcomes of admitted jobs."""

    def __init__(self, seed: int, now: int, max_ramp_us: int, max_retry_after_us: int):
        """Create a ramp; `max_ramp_us` bounds a start, `max_retry_after_us` (0 for none) a `Retry-After`."""
        self.slot_share = 1.0
        self.limit = 0.0
        self.limited = True
        self.reason = LimitReason.START
        self.in_flight = 0
        self.counts = AdmissionCounts()
        self._seed, self._draws = seed, 0
        self._max_ramp_us = max_ramp_us
        self._max_retry_after_us = max_retry_after_us
        self._ramp_ends_at: int | None = None
        self._in_slow_start = True
        self._run_time_us = 0.0
        self._outcomes: deque[tuple[int, bool]] = deque()  # (time, completed)
        self._recent_completions = 0
        self._rejections: deque[int] = deque()
        self._decreased_at = now
        self._quiet_since = now

    def start(self, now: int) -> None:
        """Start the ramp once the dispatcher may serve; earlier time, as without a lease, lifts no limit."""
        self._ramp_ends_at = now + self._max_ramp_us
        self._quiet_since = now

    def resize(self, slots: float, dispatchers: int) -> None:
        """Set the share: `slots`, the warm slots of the eligible workers, divided by `dispatchers`."""
        previous_share = self.slot_share
        self.slot_share = max(1.0, slots / max(1, dispatchers))
        if not self.limit:
            self.limit = self.slot_share * INITIAL_FRACTION
        elif self.limited and previous_share != self.slot_share:
            self.limit = max(self.limit, self.slot_share * MIN_FRACTION)

    def use_peer_loads(self, loads: Sequence[PeerLoad]) -> None:
        """Raise the limit of a start if most of the other dispatchers admit jobs without a limit.

        A fleet that serves can take one more dispatcher with as much load as each of the others. If most of
        them have just started as well, their load says nothing, and the limit stays.
        """
        serving = [load.in_flight for load in loads if load.unlimited]
        if not self.limited or self.reason != LimitReason.START or 2 * len(serving) <= len(loads):
            return
        mean_in_flight = sum(serving) / len(serving)
        self.limit = max(self.limit, min(2 * mean_in_flight + 1, self.full_limit()))

    def full_limit(self) -> float:
        """Return the limit at which the ramp is over: the share plus a margin for random bursts."""
        return self.slot_share + BURST_ROOTS * self.slot_share**0.5

    def admit(self, now: int, is_retry: bool) -> int | None:
        """Admit a job and return None, or return the `Retry-After` of its rejection in microseconds.

        The caller records the outcome of each admitted job.
        """
        self.update(now)
        limit = min(self.limit, RETRY_FRACTION * self.slot_share) if is_retry else self.limit
        if not self.limited or self.in_flight < limit:
            self.in_flight += 1
            self.counts.admitted += 1
            return None
        if is_retry:
            self.counts.rejected_retries += 1
        else:
            self.counts.rejected_first_attempts += 1
        self._rejections.append(now)
        self._quiet_since = now
        return self._retry_after_us()

    def _retry_after_us(self) -> int:
        """Return the time in microseconds until the recently rejected jobs have room, with random jitter."""
        run_times = 1 + len(self._rejections) / self.slot_share
        wait = (self._run_time_us or MIN_RETRY_AFTER_US) * run_times * (0.5 + self._draw())
        return min(max(MIN_RETRY_AFTER_US, int(wait)), self._max_retry_after_us)

    def _draw(self) -> float:
        self._draws += 1
        return crc32(b"door %d %d" % (self._seed, self._draws)) / 4294967296.0

    def record_outcome(self, now: int, outcome: AdmittedJobOutcome, run_time_us: int) -> None:
        """Record that an admitted job was answered, or its client left, `run_time_us` after its admission."""
        self.in_flight -= 1
        completed = outcome == AdmittedJobOutcome.COMPLETED
        if outcome != AdmittedJobOutcome.REJECTED:
            # Jobs that the scheduler rejected have cost the workers nothing.
            self._outcomes.append((now, completed))
            self._recent_completions += completed
        if completed:
            self._increase(run_time_us)
        elif outcome == AdmittedJobOutcome.REJECTED and self.limited:
            self._decrease(now)
        self.update(now)

    def _increase(self, run_time_us: int) -> None:
        if self._run_time_us:
            self._run_time_us += RUN_TIME_GAIN * (run_time_us - self._run_time_us)
        else:
            self._run_time_us = run_time_us
        self.limit += 1.0 if self._in_slow_start else 1.0 / max(1.0, self.limit)
        self.limit = min(self.limit, self.full_limit())

    def _decrease(self, now: int) -> None:
        """Lower the limit, at most once per run time: jobs admitted before still end during that time."""
        self._in_slow_start = False
        if now < self._decreased_at + self._run_time_us:
            return
        fraction = MIN_FRACTION if self.reason == LimitReason.START else 1.0
        self._decreased_at = now
        self.limit = max(1.0, fraction * self.slot_share, DECREASE_FACTOR * self.limit)

    def update(self, now: int) -> None:
        """Lift the limit or put it in force again, by the outcomes and rejections until now."""
        self._forget_old(now)
        if self._ramp_ends_at is None:
            return
        if self.limited:
            if self._ramp_is_over(now) or now >= self._quiet_since + QUIET_US:
                self._lift_limit()
        elif self._is_overloaded():
            self._limit_by_overload(now)

    def _forget_old(self, now: int) -> None:
        outcomes, rejections = self._outcomes, self._rejections
        while outcomes and (outcomes[0][0] <= now - OUTCOME_AGE_US or len(outcomes) > MAX_RECENT_OUTCOMES):
            _, completed = outcomes.popleft()
            self._recent_completions -= completed
        while rejections and rejections[0] <= now - REJECTION_WINDOW_US:
            rejections.popleft()

    def _ramp_is_over(self, now: int) -> bool:
        if self.reason != LimitReason.START:
            return False
        return self.limit >= self.full_limit() or now >= self._ramp_ends_at

    def _is_overloaded(self) -> bool:
        count = len(self._outcomes)
        return count >= MIN_OUTCOMES and self._recent_completions < HEALTHY_FRACTION * count

    def _lift_limit(self) -> None:
        self.limited = False
        self.reason = LimitReason.NONE
        self.counts.limits_lifted += 1

    def _limit_by_overload(self, now: int) -> None:
        self.limited = True
        self.reason = LimitReason.OVERLOAD
        self.limit = self.slot_share
        self._in_slow_start = False
        self._decreased_at = self._quiet_since = now
        self._outcomes.clear()
        self._recent_completions = 0
        self.counts.overloads += 1

    def open_fraction(self) -> float:
        """Return the limit as a fraction of the full limit, 0 to 1; 1 without a limit."""
        return min(1.0, self.limit / self.full_limit()) if self.limited else 1.0

    def figures(self) -> dict:
        """Return the figures for operators; the keys are those of `door` at `/api/recovery`."""
        return {
            "let_in": self.counts.admitted,
            "refused_first": self.counts.rejected_first_attempts,
            "refused_further": self.counts.rejected_retries,
            "closed": self.counts.overloads,
            "opened": self.counts.limits_lifted,
            "open": not self.limited,
            "share": round(self.open_fraction(), 3),
            "why": self.reason.value,
            "room": round(self.limit, 1),
            "part": round(self.slot_share, 1),
            "held": self.in_flight,
        }
