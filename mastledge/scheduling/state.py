"""What the decisions know of each worker, job and launch.

Plain records: the modules that name a field in their description change it. Times are whole microseconds.
"""

from zlib import crc32


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

    def __init__(self, worker_id, slots: float, born: int, now: int):
        """A worker that was just listed."""
        self.id, self.slots, self.in_flight, self.state = worker_id, slots, {}, "ready"
        self.name_hash = crc32(str(worker_id).encode())
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
        "uncontended",  # running time and speed may be learned from it
        "fetch_certain",  # whether the key's data was there is known
        "curve_entry",  # in the worker's load curve; None: it no longer weighs there
        "ended",
        "may_have_run",
        "revoked",
    )
