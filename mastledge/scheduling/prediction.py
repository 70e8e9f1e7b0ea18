"""Load curves and contention (Fang et al., section 4.4): what a worker's load will be until a job's end.

A load curve is the sorted list of (estimated end, sequence number, load) of what weighs on a worker. Times
are whole microseconds.
"""

from bisect import bisect_left, insort

from mastledge.scheduling.estimation import GAIN
from mastledge.scheduling.slow_start import least_warmth
from mastledge.scheduling.state import Job, Launch, Worker

SECOND_US = 1_000_000
MOST_RATIO = 8.0  # times the slowness so far that one sample counts as
FADING_JOBS = 16  # learned slowness fades in as many mean running times
FREE_START_LAGS, FREE_START_STEPS = 3, 4  # a start later than so many lags and steps has waited


def slowness(worker: Worker, now: int, settings: dict) -> float:
    """How many times as long a job takes there as on the mean worker, at the most while it warms up."""
    return worker.slow / least_warmth(worker, now, settings) if worker.born else worker.slow


def free_start_lag(worker: Worker, settings: dict) -> int:
    """The time within which a free worker has started what it was sent."""
    return FREE_START_LAGS * (worker.start_lag or 0) + FREE_START_STEPS * settings["step"]


def learn_slowness(worker: Worker, ratio: float, now: int, settings: dict) -> None:
    """Takes a running time there over that on the mean worker."""
    # What a worker that warms up is assumed to lack must not be learned as its slowness as well.
    ratio *= least_warmth(worker, now, settings)
    worker.slow += GAIN * (min(ratio, MOST_RATIO * worker.slow) - worker.slow)


def fade_slowness(workers: list, mean_running_time: float) -> None:
    """Once a second: slowness stays relative to the mean, so what all share moves the estimates.

    It fades as well: a worker that is avoided for it is never measured again otherwise.
    """
    fade = min(1.0, SECOND_US / (FADING_JOBS * mean_running_time + 1))
    mean = sum(worker.slow for worker in workers) / max(1, len(workers))
    for worker in workers:
        worker.slow = worker.slow / mean + fade * (1.0 - worker.slow / mean)


def slack(job: Job, now: int, slow: float) -> float:
    """The time left until the latency objective, less the running time on a worker of that slowness."""
    return job.target_at - now - job.mean * slow


def expected_end(job: Job, now: int, slow: float) -> float:
    """When the job would end if it started now on a worker of that slowness."""
    return now + job.mean * slow


def add_to_curve(launch: Launch, end: int) -> None:
    """The launch weighs on its worker until that estimated end."""
    worker = launch.worker
    worker.curve_sequence += 1
    launch.curve_entry = (end, worker.curve_sequence, launch.load)
    insort(worker.load_curve, launch.curve_entry)
    worker.load += launch.load


def move_in_curve(launch: Launch, end: int) -> None:
    """The estimated end is another one."""
    curve = launch.worker.load_curve
    del curve[bisect_left(curve, launch.curve_entry)]
    launch.curve_entry = (end, *launch.curve_entry[1:])
    insort(curve, launch.curve_entry)


def remove_from_curve(launch: Launch) -> None:
    """The launch no longer weighs on its worker."""
    worker, curve = launch.worker, launch.worker.load_curve
    del curve[bisect_left(curve, launch.curve_entry)]
    launch.curve_entry = None
    worker.in_flight.pop((launch.job.id, launch.number), None)
    worker.load = sum(entry[2] for entry in curve)
    if launch.started_at:
        worker.running = max(0.0, worker.running - launch.load)


def remove_if_connection_is_dead(launch: Launch) -> None:
    """A silent launch on a worker that is heard: it must not be taken for load until its walltime."""
    if launch.curve_entry is not None and launch.worker.heard_at > launch.heard_at:
        remove_from_curve(launch)


def contention(  # noqa: PLR0913 - plain figures: looking them up again for each worker costs too much
    worker: Worker, now: int, span: int, load: float, late: int, other_load: float
) -> tuple[float, float]:
    """Load above the slots and load as such, both integrated from now over the span (load x microseconds).

    `load`: of the new job. A launch past its estimated end counts until now plus `late`, the job's variation.
    The results are a plain tuple and the loop has no calls but `min`, as this runs for each worker and job.
    """
    above = worker.load + load + other_load - (worker.slots if worker.slots > load else load)
    over, at, area = 0.0, 0, (load + other_load) * span
    ends = [(min(end - now if end > now else late, span), width) for end, _, width in worker.load_curve]
    if above > 0:
        ends.sort()
    for left, width in ends:
        area += width * left
        if above > 0:
            over += above * (left - at)
            at, above = left, above - width
    return over + above * (span - at) if above > 0 else over, area
