"""State of workers, queue types, jobs and launches.

These are plain records; each field is changed by the module responsible for it. Times are whole microseconds.
"""

from collections.abc import Hashable
from zlib import crc32

from mastledge.scheduling.estimation import Estimate


class Worker:
    """A worker endpoint as this dispatcher sees it, with its launches in flight."""

    __slots__ = (
        "id",  # given by the host; any hashable value
        "name_hash",  # CRC-32 of the id as text, the same on every dispatcher
        "number",  # in the order of first listings
        # From the endpoint list.
        "zone",
        "kind",
        "cell",
        "units",
        "state",
        "born",  # start of this incarnation; 0: unknown, long ago
        # Launches in flight.
        "in_flight",  # (job id, launch number) -> Launch
        "load_curve",  # sorted entries (estimated end, sequence number, load)
        "curve_sequence",  # sequence number of the last entry
        "load",  # sum of the loads in the load curve
        "running",  # the part of the load that is known to have started
        # Learned.
        "slots",
        "peak",  # highest load seen running at once
        "slow",  # slowness: running time on this worker relative to the mean worker
        "start_lag",  # time from sending to start while the worker is free; None: unknown
        "heard_at",
        "last_key",  # (key, time) of the last launch with a key
        # Load of others.
        "other_load",  # as last observed
        "other_load_at",
        "usual_other_load",  # smoothed
        "last_report",
        "gossiped_load",  # sum over the load messages of the other dispatchers
        # Outlier ejection and slow start.
        "ejections",  # reason -> Ejection
        "warming_up",
        "credit",  # work that may be sent now, in microseconds
        "credit_at",  # when the credit was last updated
        "credit_threshold",  # share of a job's work that the credit has to exceed
        "threshold_drawn_at",
    )

    def __init__(self, worker_id: Hashable, number: int, slots: float, born: int, now: int):
        """Create a worker that was just listed."""
        self.id, self.number, self.slots, self.in_flight, self.state = worker_id, number, slots, {}, "ready"
        self.name_hash, self.curve_sequence = crc32(str(worker_id).encode()), 0
        self.begin_incarnation(born, now)

    def begin_incarnation(self, born: int, now: int) -> None:
        """Reset a restarted worker: earlier launches no longer count as load, and it warms up again."""
        for launch in self.in_flight.values():
            launch.curve_entry = None
        self.born, self.warming_up = born, born != 0
        self.in_flight, self.load_curve, self.ejections = {}, [], {}
        self.load = self.running = 0.0
        self.other_load = self.usual_other_load = self.gossiped_load = 0.0
        self.other_load_at, self.heard_at, self.last_key = 0, 0, (0, 0)
        self.peak, self.slow, self.start_lag, self.last_report = 1.0, 1.0, None, None
        # No credit for the time before the worker was listed.
        self.credit, self.credit_at = 0.0, now
        self.credit_threshold, self.threshold_drawn_at = 1.0, now


class QueueType:
    """The terms of a queue type from the settings, and estimates learned from its jobs."""

    __slots__ = (
        "name",
        "effect",  # Effect
        "group",  # a repeat stays among workers with the same value of this Worker field; or "all"
        "window",  # time in which workers recognise a repeat
        "walltime",
        "target",  # latency objective
        "stretch",  # multiple of the hint that is added to the latency objective
        "utility",  # value of an answer in time
        "late_utility",  # value of a late answer
        "kind",  # the only machine kind that may run it; -1: any
        "hint_ratio",  # Estimate of running time over hint
        "running_time",  # Estimate
        "most_patience",  # longest patience seen of a client
    )

    def __init__(self, terms: dict, before: "QueueType | None"):
        """Take the terms from the settings, and learned values from the previous type of this name."""
        self.name, self.effect, self.group = terms["name"], terms["effect"], terms["group"]
        self.window, self.walltime, self.target = terms["window"], terms["walltime"], terms["target"]
        self.stretch, self.kind = terms["stretch"], terms["kind"]
        self.utility, self.late_utility = terms["utility"], terms["late_utility"]
        if before is not None:
            self.hint_ratio, self.running_time = before.hint_ratio, before.running_time
            self.most_patience = before.most_patience
        else:
            self.hint_ratio = Estimate(1.0, 0.5)
            self.running_time = Estimate(float(self.target), self.target / 2)
            self.most_patience = 0


class Job:
    """A job from its arrival to its final answer."""

    __slots__ = (
        "id",
        "queue_type",  # QueueType, as it was when the job arrived
        "key",  # 0: none
        "hint",  # running time that the client expects; 0: none
        "load",
        "tenant",
        "arrived_at",
        "target_at",  # when the latency objective ends
        "deadline",  # when the final answer is due
        "launches",
        "in_flight",  # number of launches that have not ended
        "ended",
        "mean",  # estimated running time on the mean worker
        "variation",
        "work",  # charged against a slow-start budget
        "wants_hedge",  # a second launch is wanted while one is in flight
    )

    def __init__(self, job_id: Hashable, queue_type: QueueType, now: int):
        """Create a job that has just arrived; `JobIntake` sets the other fields."""
        self.id, self.queue_type, self.arrived_at = job_id, queue_type, now
        self.launches, self.in_flight, self.ended, self.wants_hedge = [], 0, False, False

    def expected_work(self) -> float:
        """Return the hinted running time, or the estimated one without a hint."""
        return self.hint or self.mean


class Launch:
    """One launch of a job on a worker."""

    __slots__ = (
        "job",
        "worker",
        "number",  # among the launches of its job, from 0
        "sent_at",
        "started_at",  # 0: not known to have started
        "heard_at",
        "load",
        "mean",  # estimated running time on the mean worker, including the fetch
        "fetch_time",  # expected time to fetch the key's data; 0.0: none
        "needs_no_fetch",  # certain: no key, or its data is still cached
        "uncontended",  # running time and slowness may be learned from it
        "curve_entry",  # entry in the worker's load curve; None: removed
        "ended",
        "may_have_run",
        "revoked",
    )

    def __init__(self, job: Job, worker: Worker, now: int):
        """Create a launch that is sent now; it is not in the load curve yet."""
        self.job, self.worker, self.number, self.sent_at = job, worker, len(job.launches), now
        self.load, self.mean, self.started_at, self.heard_at = job.load, job.mean, 0, now
        self.fetch_time, self.needs_no_fetch, self.uncontended = 0.0, True, True
        self.curve_entry = None
        self.ended = self.may_have_run = self.revoked = False
