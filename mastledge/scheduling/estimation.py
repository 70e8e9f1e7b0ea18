"""The upper bound estimator (Fang et al., section 5.1): a smoothed mean and a smoothed variation."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.scheduling.state import Job

GAIN = 0.125  # weight of the newest sample (alpha and beta in the paper)
VARIATION_MULTIPLIER = 1.0  # variations between mean and upper bound (kappa in the paper)
MAX_KEYS = 4096  # keys with an estimate; a new key replaces the oldest
START_LAG_STEPS = 4.0  # initial estimate of the start lag, in clock steps
LEAST_MEAN_US = 1.0


class Estimate:
    """Mean and variation of a series of samples, in the unit of the samples."""

    __slots__ = ("mean", "samples", "variation")

    def __init__(self, mean: float, variation: float, samples: int = 0):
        """Start from given values; with `samples` 0 the first sample replaces them."""
        self.mean, self.variation, self.samples = mean, variation, samples

    def learn(self, sample: float) -> None:
        """Update mean and variation with a sample."""
        if self.samples:
            self.variation += GAIN * (abs(self.mean - sample) - self.variation)
            self.mean += GAIN * (sample - self.mean)
        else:
            self.mean, self.variation = sample, sample / 2
        self.samples += 1


class FleetEstimates:
    """Estimates over all workers, in microseconds.

    `running_time`: running time of a job. `start_lag`: time from sending a launch to its start. `mean_work`:
    work of a job, by its hint if it has one. `by_key`: running time on the mean worker, by key.
    """

    def __init__(self, queue_types: list, step: int):
        """Start with the shortest latency objective as the running time."""
        self.running_time = Estimate(float(min(queue_type.target for queue_type in queue_types)), 0.0)
        self.start_lag = Estimate(START_LAG_STEPS * step, START_LAG_STEPS * step)
        self.mean_work = self.running_time.mean
        self.by_key: dict[int, Estimate] = {}

    def estimate(self, job: "Job") -> None:
        """Set the job's estimated running time from its hint, else its key, else its queue type."""
        queue_type = job.queue_type
        if job.hint:
            basis, unit = queue_type.hint_ratio, job.hint
        else:
            basis, unit = self._key_estimate(job.key, queue_type) if job.key else queue_type.running_time, 1
        job.mean = max(unit * basis.mean, LEAST_MEAN_US)
        job.variation = VARIATION_MULTIPLIER * unit * basis.variation

    def _key_estimate(self, key: int, queue_type) -> Estimate:
        """Return the key's estimate; a new key starts at the mean of the others."""
        estimate = self.by_key.get(key)
        if estimate is None:
            if len(self.by_key) >= MAX_KEYS:
                del self.by_key[next(iter(self.by_key))]
            others = list(self.by_key.values()) or [queue_type.running_time]
            estimate = self.by_key[key] = Estimate(
                sum(other.mean for other in others) / len(others),
                sum(other.variation for other in others) / len(others),
            )
        return estimate
