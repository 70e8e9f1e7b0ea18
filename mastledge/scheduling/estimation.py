"""The upper bound estimator (Fang et al., section 5.1): a smoothed mean and a smoothed variation."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from mastledge.scheduling.state import Job

GAIN = 0.125  # weight of the newest sample: the paper's alpha and beta
VARIATION_MULTIPLIER = 1.0  # variations that an upper bound lies above the mean: the paper's kappa
MOST_KEYS = 4096  # keys of which something is kept; the oldest goes for a new one
START_LAG_STEPS = 4.0  # steps of the clock that a start is first taken to need
LEAST_MEAN_US = 1.0


class Estimate:
    """Mean and variation of a series of samples, in the unit of the samples."""

    __slots__ = ("mean", "samples", "variation")

    def __init__(self, mean: float, variation: float, samples: int = 0):
        """An estimate of no samples is replaced by its first one."""
        self.mean, self.variation, self.samples = mean, variation, samples

    def learn(self, sample: float) -> None:
        """Moves toward one more sample."""
        if self.samples:
            self.variation += GAIN * (abs(self.mean - sample) - self.variation)
            self.mean += GAIN * (sample - self.mean)
        else:
            self.mean, self.variation = sample, sample / 2
        self.samples += 1


class FleetEstimates:
    """What is estimated over all workers: times in microseconds.

    `running_time`: of a job. `start_lag`: from sending to start. `mean_work`: of a job, by its hint where it
    has one. `by_key`: running time on the mean worker, by key.
    """

    def __init__(self, queue_types: list, step: int):
        """Before the first sample a job takes the shortest latency objective."""
        self.running_time = Estimate(float(min(queue_type.target for queue_type in queue_types)), 0.0)
        self.start_lag = Estimate(START_LAG_STEPS * step, START_LAG_STEPS * step)
        self.mean_work = self.running_time.mean
        self.by_key: dict[int, Estimate] = {}

    def estimate(self, job: "Job") -> None:
        """Sets the job's running time: by the hint of this very job, else the key's, else the type's."""
        queue_type = job.queue_type
        if job.hint:
            known, unit = queue_type.hint_ratio, job.hint
        else:
            known, unit = self._of_key(job.key, queue_type) if job.key else queue_type.running_time, 1
        job.mean = max(unit * known.mean, LEAST_MEAN_US)
        job.variation = VARIATION_MULTIPLIER * unit * known.variation

    def _of_key(self, key: int, queue_type) -> Estimate:
        """The key's estimate; a new key starts at the mean of the others."""
        known = self.by_key.get(key)
        if known is None:
            if len(self.by_key) >= MOST_KEYS:
                del self.by_key[next(iter(self.by_key))]
            others = list(self.by_key.values()) or [queue_type.running_time]
            known = self.by_key[key] = Estimate(
                sum(other.mean for other in others) / len(others),
                sum(other.variation for other in others) / len(others),
            )
        return known
