"""The upper bound estimator (Fang et al., section 5.1): a smoothed mean and a smoothed variation."""

GAIN = 0.125  # weight of the newest sample: the paper's alpha and beta
VARIATION_MULTIPLIER = 1.0  # variations that an upper bound lies above the mean: the paper's kappa


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
