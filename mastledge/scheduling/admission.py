"""Admission under overload: pressure, load shedding, and when a rejected client may come back.

Under overload a queue only makes all answers late. Pressure rises with the waits of the last starts, and jobs
are rejected by chance, cheaper ones more often. Times are whole microseconds.
"""

from collections import deque

from mastledge.scheduling.estimation import GAIN, FleetEstimates
from mastledge.scheduling.prediction import slack, slowness
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Job, Worker
from mastledge.scheduling.traffic import Traffic

RECENT_WAITS = 9  # last starts whose waits tell overload
PRESSURE_RISE_US = 4_000_000  # over this time a full queue becomes rejections
MOST_PRESSURE = 0.9
FADING_JOBS = 4  # a wait counts half after as many mean running times
FIRST_VALUE = 0.5


class AdmissionControl:
    """Which jobs are accepted. `pressure`: 0 to 0.9, how far queues outlast the slack of jobs."""

    def __init__(
        self, settings: dict, random: RandomSource, traffic: Traffic, estimates: FleetEstimates, now: int
    ):
        """No pressure."""
        self._settings, self._random = settings, random
        self._traffic, self._estimates = traffic, estimates
        self.start_waits = deque([(0, now)], RECENT_WAITS)
        self.pressure, self.sustained_pressure, self.pressure_at = 0.0, 0.0, now
        self.mean_slack, self.mean_value = estimates.running_time.mean, FIRST_VALUE
        self.best_utility = 1.0

    def adopt(self, queue_types: list) -> None:
        """These are the queue types now."""
        self.best_utility = max(queue_type.utility for queue_type in queue_types) or 1.0

    def observe_wait(self, wait: float, now: int) -> None:
        """A job waited for its start this long, or would have."""
        self.start_waits.append((wait, now))

    def update_pressure(self, now: int) -> None:
        """By the mean of the last waits, summed up over time: a short trouble common to all passes."""
        since, self.pressure_at = now - self.pressure_at, now
        # A dispatcher of little traffic holds old waits, and the fewer it lets through the older they get.
        fade, most = FADING_JOBS * self._estimates.running_time.mean, self.mean_slack
        waits = [min(wait / (1 + (now - at) / fade), most) for wait, at in self.start_waits]
        above = sum(waits) / len(waits) / most - 0.5
        sustained = max(self.sustained_pressure + above * since / PRESSURE_RISE_US, 0.0)
        self.sustained_pressure = min(sustained, MOST_PRESSURE)
        self.pressure = min(self.sustained_pressure + max(above, 0.0) / 2, MOST_PRESSURE)

    def sheds(self, job: Job, wait: float, worker: Worker, now: int) -> bool:
        """Whether to reject a job that would wait this long on the worker that was picked for it."""
        time_left = slack(job, now, slowness(worker, now, self._settings))
        value = job.queue_type.utility / self.best_utility
        if self._random.chance() < self._traffic.over_quota_share(job.tenant):
            value *= self._settings["excess_utility"]
        if time_left > 0:
            self.mean_slack += GAIN * (time_left - self.mean_slack)
            self.mean_value += GAIN * (value - self.mean_value)
        if self.pressure > 0 and self._random.chance() < self.pressure ** (value / self.mean_value):
            return True
        longest = max(time_left, self._settings["step"])
        return wait > longest * value**0.5 * (0.5 + 0.5 * self._random.chance())

    def retry_after(self, wait: float) -> int:
        """When a rejected client may come back, from the time after which it could be served."""
        return min(int(wait), self._settings["most_hold_off"] if self._settings["may_hold_off"] else 0)
