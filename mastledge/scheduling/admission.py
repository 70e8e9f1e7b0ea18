"""Admission control under overload: pressure, load shedding, and the retry delay of rejected jobs.

Under overload a queue only makes all answers late. Pressure rises with the waits of recent starts, and jobs
are rejected at random, those of lower utility more often. Times are whole microseconds.
"""

from collections import deque

from mastledge.scheduling.estimation import GAIN, FleetEstimates
from mastledge.scheduling.prediction import slack, slowness
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Job, Worker
from mastledge.scheduling.traffic import Traffic

RECENT_WAITS = 9  # recent starts whose waits indicate overload
PRESSURE_RISE_US = 4_000_000  # time over which a sustained full queue turns into rejections
MAX_PRESSURE = 0.9
FADING_JOBS = 4  # mean running times after which a wait counts half
FIRST_VALUE = 0.5


class AdmissionControl:
    """Decides which jobs are accepted.

    `pressure`: 0 to 0.9, how far waits exceed half the mean slack of jobs.
    """

    def __init__(
        self, settings: dict, random: RandomSource, traffic: Traffic, estimates: FleetEstimates, now: int
    ):
        """Start with no pressure."""
        self._settings, self._random = settings, random
        self._traffic, self._estimates = traffic, estimates
        self.start_waits = deque([(0, now)], RECENT_WAITS)
        self.pressure, self.sustained_pressure, self.pressure_at = 0.0, 0.0, now
        self.mean_slack, self.mean_value = estimates.running_time.mean, FIRST_VALUE
        self.best_utility = 1.0

    def set_queue_types(self, queue_types: list) -> None:
        """Adopt the configured queue types."""
        self.best_utility = max(queue_type.utility for queue_type in queue_types) or 1.0

    def observe_wait(self, wait: float, now: int) -> None:
        """Record how long a job waited, or would have waited, for its start."""
        self.start_waits.append((wait, now))

    def update_pressure(self, now: int) -> None:
        """Update the pressure: the mean of recent waits, integrated over time to ignore short ones."""
        elapsed, self.pressure_at = now - self.pressure_at, now
        # Old waits lose weight: with little traffic, or many rejections, no new ones would replace them.
        half_life, max_wait = FADING_JOBS * self._estimates.running_time.mean, self.mean_slack
        waits = [min(wait / (1 + (now - at) / half_life), max_wait) for wait, at in self.start_waits]
        excess = sum(waits) / len(waits) / max_wait - 0.5
        sustained = max(self.sustained_pressure + excess * elapsed / PRESSURE_RISE_US, 0.0)
        self.sustained_pressure = min(sustained, MAX_PRESSURE)
        self.pressure = min(self.sustained_pressure + max(excess, 0.0) / 2, MAX_PRESSURE)

    def should_shed(self, job: Job, wait: float, worker: Worker, now: int) -> bool:
        """Return whether to reject a job that would wait this long on the worker selected for it."""
        time_left = slack(job, now, slowness(worker, now, self._settings))
        value = job.queue_type.utility / self.best_utility
        if self._random.chance() < self._traffic.over_quota_share(job.tenant):
            value *= self._settings["excess_utility"]
        if time_left > 0:
            self.mean_slack += GAIN * (time_left - self.mean_slack)
            self.mean_value += GAIN * (value - self.mean_value)
        if self.pressure > 0 and self._random.chance() < self.pressure ** (value / self.mean_value):
            return True
        max_wait = max(time_left, self._settings["step"])
        return wait > max_wait * value**0.5 * (0.5 + 0.5 * self._random.chance())

    def retry_after(self, wait: float) -> int:
        """Return the Retry-After time of a rejected job, given the predicted wait."""
        return min(int(wait), self._settings["most_hold_off"] if self._settings["may_hold_off"] else 0)
