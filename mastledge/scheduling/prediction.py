"""Load curves and contention (Fang et al., section 4.4): the predicted load of a worker until a job's end.

A load curve is the sorted list of (estimated end, sequence number, load) of the launches on a worker. Times
are whole microseconds.
"""

from bisect import bisect_left, insort

from mastledge.scheduling.estimation import GAIN
from mastledge.scheduling.slow_start import min_warmth
from mastledge.scheduling.state import Job, Launch, Worker

SECOND_US = 1_000_000
MAX_RATIO = 8.0  # cap of a slowness sample, as a multiple of the present slowness
FADING_JOBS = 16  # mean running times in which learned slowness decays
FREE_START_LAGS, FREE_START_STEPS = 3, 4  # a start later than this many lags and clock steps has waited


def slowness(worker: Worker, now: int, settings: dict) -> float:
    """Return running time on the worker relative to the mean worker; an upper bound during slow start."""
    return worker.slow / min_warmth(worker, now, settings) if worker.born else worker.slow


def free_start_lag(worker: Worker, settings: dict) -> int:
    """Return the time within which a free worker starts a launch."""
    return FREE_START_LAGS * (worker.start_lag or 0) + FREE_START_STEPS * settings["step"]


def learn_slowness(worker: Worker, ratio: float, now: int, settings: dict) -> None:
    """Learn from a running time on the worker, as a ratio to that on the mean worker."""
    # The slowdown assumed during slow start must not be learned as slowness as well.
    ratio *= min_warmth(worker, now, settings)
    worker.slow += GAIN * (min(ratio, MAX_RATIO * worker.slow) - worker.slow)


def fade_slowness(workers: list, mean_running_time: float) -> None:
    """Normalize slowness to the mean of the workers, and decay it, once a second.

    A slowdown of all workers thus goes into the running time estimates. Without the decay a worker that is
    avoided as slow would never be measured again.
    """
    decay = min(1.0, SECOND_US / (FADING_JOBS * mean_running_time + 1))
    mean = sum(worker.slow for worker in workers) / max(1, len(workers))
    for worker in workers:
        worker.slow = worker.slow / mean + decay * (1.0 - worker.slow / mean)


def slack(job: Job, now: int, slow: float) -> float:
    """Return the time until the latency objective, less the running time on a worker of that slowness."""
    return job.target_at - now - job.mean * slow


def expected_end(job: Job, now: int, slow: float) -> float:
    """Return when the job would end if it started now on a worker of that slowness."""
    return now + job.mean * slow


def add_to_curve(launch: Launch, end: int) -> None:
    """Add the launch to its worker's load curve until its estimated end."""
    worker = launch.worker
    worker.curve_sequence += 1
    launch.curve_entry = (end, worker.curve_sequence, launch.load)
    insort(worker.load_curve, launch.curve_entry)
    worker.load += launch.load


def move_in_curve(launch: Launch, end: int) -> None:
    """Change the estimated end of the launch."""
    curve = launch.worker.load_curve
    del curve[bisect_left(curve, launch.curve_entry)]
    launch.curve_entry = (end, *launch.curve_entry[1:])
    insort(curve, launch.curve_entry)


def remove_from_curve(launch: Launch) -> None:
    """Remove the launch from its worker's load curve and launches in flight."""
    worker, curve = launch.worker, launch.worker.load_curve
    del curve[bisect_left(curve, launch.curve_entry)]
    launch.curve_entry = None
    worker.in_flight.pop((launch.job.id, launch.number), None)
    worker.load = sum(entry[2] for entry in curve)
    if launch.started_at:
        worker.running = max(0.0, worker.running - launch.load)


def remove_if_connection_is_dead(launch: Launch) -> None:
    """Remove a silent launch whose worker was heard since, or it would count as load until its walltime."""
    if launch.curve_entry is not None and launch.worker.heard_at > launch.heard_at:
        remove_from_curve(launch)


def contention(  # noqa: PLR0913 - plain values: looking them up for each worker costs too much
    worker: Worker, now: int, span: int, load: float, late: int, other_load: float
) -> tuple[float, float]:
    """Return the load above the slots and the total load, integrated over the span (load x microseconds).

    `load`: load of the new job. A launch past its estimated end counts until now plus `late`, the job's
    variation. Returns a plain tuple and calls only `min` in the loop, as this runs for each worker and job.
    """
    excess = worker.load + load + other_load - (worker.slots if worker.slots > load else load)
    overload, at, area = 0.0, 0, (load + other_load) * span
    ends = [(min(end - now if end > now else late, span), width) for end, _, width in worker.load_curve]
    if excess > 0:
        ends.sort()
    for left, width in ends:
        area += width * left
        if excess > 0:
            overload += excess * (left - at)
            at, excess = left, excess - width
    return overload + excess * (span - at) if excess > 0 else overload, area
