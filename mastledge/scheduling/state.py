"""What the decisions know of each worker, queue type, job and launch.

Plain records: the module that has the job of a field changes it. Times are whole microseconds.
"""

from collections.abc import Hashable
from zlib import crc32

from mastledge.scheduling.estimation import Estimate


class Worker:
    """One worker endpoint as this dispatcher sees it, with what is in flight there."""

    __slots__ = (
        "id",  # the host's own name for it; any value that can be looked up
        "name_hash",  # CRC-32 of the id's text, the same at every dispatcher
        # As the endpoint list has it.
        "zone",
        "kind",
        "cell",
        "units",
        "state",
        "born",  # start of this incarnation; 0: long ago
        # Launches in flight.
        "in_flight",  # (job id, launch number) -> Launch
        "load_curve",  # sorted entries (estimated end, sequence number, load)
        "curve_sequence",  # sequence number of the last entry
        "load",  # sum of the loads of the curve
        "running",  # the part of the load that is known to have started
        # What was learned.
        "slots",
        "peak",  # the most load seen running at once
        "slow",  # learned slowness: running time here over that on the mean worker
        "start_lag",  # time from sending to start on a free worker; None: not known
        "heard_at",
        "last_key",  # (key, time) of the last launch with a key
        # Load of others.
        "other_load",  # as last seen
        "other_load_at",
        "usual_other_load",  # smoothed
        "last_report",
        "gossiped_load",  # sum of what the other dispatchers tell
        # Outlier ejection and slow start.
        "ejections",  # reason -> Ejection
        "warming_up",
        "credit",  # work that may be sent now, in microseconds
        "credit_at",  # when the credit was last brought up to date
        "credit_threshold",  # share of a job's work that the credit has to exceed
        "threshold_drawn_at",
    )

    def __init__(self, worker_id: Hashable, slots: float, born: int, now: int):
        """A worker that was just listed."""
        self.id, self.slots, self.in_flight, self.state = worker_id, slots, {}, "ready"
        self.name_hash, self.curve_sequence = crc32(str(worker_id).encode()), 0
        self.begin_incarnation(born, now)

    def begin_incarnation(self, born: int, now: int) -> None:
        """The worker was restarted: its former launches no longer weigh on it, and it warms up again."""
        for launch in self.in_flight.values():
            launch.curve_entry = None
        self.born, self.warming_up = born, born != 0
        self.in_flight, self.load_curve, self.ejections = {}, [], {}
        self.load = self.running = 0.0
        self.other_load = self.usual_other_load = self.gossiped_load = 0.0
        self.other_load_at, self.heard_at, self.last_key = 0, 0, (0, 0)
        self.peak, self.slow, self.start_lag, self.last_report = 1.0, 1.0, None, None
        # No credit for the time before it was known.
        self.credit, self.credit_at = 0.0, now
        self.credit_threshold, self.threshold_drawn_at = 1.0, now


class QueueType:
    """The terms of one class of jobs, as the settings have them, and what was learned of its jobs."""

    __slots__ = (
        "name",
        "effect",  # Effect
        "group",  # the workers that a repeat has to stay in: a field of Worker, or "all"
        "window",  # in which a repeat is recognised
        "walltime",
        "target",  # latency objective
        "stretch",  # by which a hint, times this, moves the latency objective
        "utility",  # what an answer in time is worth
        "late_utility",  # what a late answer is worth
        "kind",  # the only machine kind that may run it; -1: any
        "hint_ratio",  # Estimate of running time over hint
        "running_time",  # Estimate
        "most_patience",  # the longest that a client was seen to wait
    )

    def __init__(self, terms: dict, before: "QueueType | None"):
        """Takes terms from the settings, and keeps what was learned by the type of this name before."""
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
    """One job from its arrival to its final answer."""

    __slots__ = (
        "id",
        "queue_type",  # QueueType, as it was when the job was taken
        "key",  # 0: none
        "hint",  # running time that the client expects; 0: none
        "load",
        "tenant",
        "arrived_at",
        "target_at",  # when the latency objective is over
        "deadline",  # when the final answer is due
        "launches",
        "in_flight",  # number of launches that have not ended
        "ended",
        "mean",  # estimated running time on the mean worker
        "variation",
        "work",  # what it counts against a slow-start budget
        "wants_hedge",  # another launch is wanted while one is in flight
    )

    def __init__(self, job_id: Hashable, queue_type: QueueType, now: int):
        """A job that has just arrived; who takes it sets the other fields."""
        self.id, self.queue_type, self.arrived_at = job_id, queue_type, now
        self.launches, self.in_flight, self.ended, self.wants_hedge = [], 0, False, False

    def expected_work(self) -> float:
        """The running time by the hint, or by the estimate where there is none."""
        return self.hint or self.mean


class Launch:
    """One sending of a job to one worker."""

    __slots__ = (
        "job",
        "worker",
        "number",  # among the launches of its job, from 0
        "sent_at",
        "started_at",  # 0: not known to have started
        "heard_at",
        "load",
        "mean",  # estimated running time on the mean worker, with the fetch
        "fetch_time",  # of the key's data; 0.0: none expected
        "fetch_certain",  # whether the key's data had to be fetched is known
        "uncontended",  # running time and speed may be learned from it
        "curve_entry",  # in the worker's load curve; None: it no longer weighs there
        "ended",
        "may_have_run",
        "revoked",
    )

    def __init__(self, job: Job, worker: Worker, now: int):
        """A launch that is sent now and weighs on no load curve yet."""
        self.job, self.worker, self.number, self.sent_at = job, worker, len(job.launches), now
        self.load, self.mean, self.started_at, self.heard_at = job.load, job.mean, 0, now
        self.fetch_time, self.fetch_certain, self.uncontended = 0.0, True, True
        self.curve_entry = None
        self.ended = self.may_have_run = self.revoked = False
