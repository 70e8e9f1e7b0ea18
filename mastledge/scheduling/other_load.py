"""Load of other dispatchers on a worker: inferred from late starts and rejections, reported or gossiped."""

from mastledge.scheduling.estimation import GAIN, FleetEstimates
from mastledge.scheduling.gossip import LoadGossip
from mastledge.scheduling.load_reports import LoadReports
from mastledge.scheduling.prediction import free_start_lag, slowness
from mastledge.scheduling.state import Job, Launch, Worker

REFUSED_SLOTS = 2  # assumed load of a worker that rejects a job as full, as a multiple of its slots
FIRST_LAG_STEPS = 2  # cap of the first start lag, in clock steps
LAG_RISE_SHIFT = 9  # the minimum start lag rises by 1/2**9 with each start


class OtherLoad:
    """Estimates the load of other dispatchers on a worker."""

    def __init__(self, settings: dict, estimates: FleetEstimates, reports: LoadReports, gossip: LoadGossip):
        """Use the given parts; estimates are kept in the worker records."""
        self._settings, self._estimates = settings, estimates
        self._reports, self._gossip = reports, gossip

    def at(self, worker: Worker, now: int) -> float:
        """Return the load of others on the worker.

        It is the gossiped load if at least half of the dispatchers gossip. Else it is the last observed load,
        decaying to the usual one, and at least the load that explains waiting launches of this dispatcher.
        """
        peers = self._gossip.peers
        if peers and 2 * len(peers) >= self._settings["dispatchers"]:
            return max(0.0, worker.gossiped_load)
        usual, age = worker.usual_other_load, now - worker.other_load_at
        load = usual + (worker.other_load - usual) / (1 + age / self._estimates.running_time.mean)
        if worker.running < worker.load:
            # The oldest launch that has not started; inlined, as this runs for each worker and job.
            for launch in worker.in_flight.values():
                if not launch.started_at:
                    if now - launch.sent_at > free_start_lag(worker, self._settings):
                        return max(load, worker.slots - worker.running)
                    break
        return load

    def any_reported(self) -> bool:
        """Return whether any worker reported its load or any dispatcher gossiped."""
        return bool(self._reports.free_slot_counts or self._gossip.peers)

    def predicted_wait(self, worker: Worker, job: Job, now: int) -> float:
        """Return the predicted wait of the job, in microseconds, from the load above the slots."""
        slots = worker.slots
        excess = worker.load + job.load + self.at(worker, now) - max(slots, job.load)
        if excess <= 0:
            return 0.0
        return excess * self._estimates.running_time.mean * slowness(worker, now, self._settings) / slots

    def observe_start(self, launch: Launch, now: int) -> int:
        """Learn from a reported start; return how long the launch waited (0 or less: not at all)."""
        worker, lag = launch.worker, now - launch.sent_at
        worker.running += launch.load
        # Starts low and rises slowly, so that queueing under overload is not learned as normal lag.
        min_lag = worker.start_lag
        if min_lag:
            worker.start_lag = min(lag, min_lag + (min_lag >> LAG_RISE_SHIFT))
        else:
            worker.start_lag = min(lag, FIRST_LAG_STEPS * self._settings["step"])
        self._estimates.start_lag.learn(lag)
        worker.peak = max(worker.peak, worker.running)
        worker.slots = max(worker.slots, worker.peak)
        wait = lag - free_start_lag(worker, self._settings)
        self._observe_wait(worker, wait, now)
        return wait

    def observe_refusal(self, worker: Worker, now: int) -> None:
        """Learn from a worker that rejected a job because it is full."""
        worker.other_load, worker.other_load_at = REFUSED_SLOTS * worker.slots, now

    def _observe_wait(self, worker, wait: int, now: int) -> None:
        """Set the load of others; after a wait, move the slots toward the load that was running."""
        if wait > 0:
            worker.slots += GAIN * (max(worker.peak, worker.running) - worker.slots)
            queued = wait * worker.slots / self._estimates.running_time.mean / 2
            load = max(0.0, worker.slots - worker.running) + queued
        else:
            load = min(self.at(worker, now), max(0.0, worker.slots - worker.running))
        worker.other_load, worker.other_load_at = load, now
