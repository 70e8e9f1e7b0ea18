"""The load that others have at a worker: seen in late starts and rejections, reported, or gossiped."""

from mastledge.scheduling.estimation import GAIN, FleetEstimates
from mastledge.scheduling.gossip import LoadGossip
from mastledge.scheduling.load_reports import LoadReports
from mastledge.scheduling.prediction import free_start_lag, slowness
from mastledge.scheduling.state import Job, Launch, Worker

REFUSED_SLOTS = 2  # slots of load that a worker has which rejects for want of room
FIRST_LAG_STEPS = 2  # steps of the clock that a first start is taken to need at the most
LAG_RISE_SHIFT = 9  # the least start lag rises by one part in 2 to the power of this with each start


class OtherLoad:
    """Estimates the load of others at a worker."""

    def __init__(self, settings: dict, estimates: FleetEstimates, reports: LoadReports, gossip: LoadGossip):
        """Nothing was seen yet; what is, stands in the workers' records."""
        self._settings, self._estimates = settings, estimates
        self._reports, self._gossip = reports, gossip

    def at(self, worker: Worker, now: int) -> float:
        """The load of others there: gossiped where most gossip, else as last seen, fading to the usual.

        Never less than what keeps own jobs waiting.
        """
        peers = self._gossip.peers
        if peers and 2 * len(peers) >= self._settings["dispatchers"]:
            return max(0.0, worker.gossiped_load)
        usual, age = worker.usual_other_load, now - worker.other_load_at
        load = usual + (worker.other_load - usual) / (1 + age / self._estimates.running_time.mean)
        if worker.running < worker.load:
            # The oldest launch that has not started; written out here, as this runs for each worker and job.
            for launch in worker.in_flight.values():
                if not launch.started_at:
                    if now - launch.sent_at > free_start_lag(worker, self._settings):
                        return max(load, worker.slots - worker.running)
                    break
        return load

    def is_told(self) -> bool:
        """Whether any worker reported its load, or any dispatcher gossiped."""
        return bool(self._reports.free_slot_counts or self._gossip.peers)

    def predicted_wait(self, worker: Worker, job: Job, now: int) -> float:
        """How long the job would wait for room there, in microseconds: by the load above the slots."""
        slots = worker.slots
        above = worker.load + job.load + self.at(worker, now) - max(slots, job.load)
        if above <= 0:
            return 0.0
        return above * self._estimates.running_time.mean * slowness(worker, now, self._settings) / slots

    def observe_start(self, launch: Launch, now: int) -> int:
        """Learns from a start that was told; gives how long the launch waited, 0 or less: not at all."""
        worker, lag = launch.worker, now - launch.sent_at
        worker.running += launch.load
        # Rises slowly and starts low, or a dispatcher that starts under overload takes queues for the usual.
        before = worker.start_lag
        if before:
            worker.start_lag = min(lag, before + (before >> LAG_RISE_SHIFT))
        else:
            worker.start_lag = min(lag, FIRST_LAG_STEPS * self._settings["step"])
        self._estimates.start_lag.learn(lag)
        worker.peak = max(worker.peak, worker.running)
        worker.slots = max(worker.slots, worker.peak)
        wait = lag - free_start_lag(worker, self._settings)
        self._observe_wait(worker, wait, now)
        return wait

    def observe_refusal(self, worker: Worker, now: int) -> None:
        """The worker rejected a job for want of room."""
        worker.other_load, worker.other_load_at = REFUSED_SLOTS * worker.slots, now

    def _observe_wait(self, worker, wait: int, now: int) -> None:
        """The total of slots moves toward what was running when a start had to wait."""
        if wait > 0:
            worker.slots += GAIN * (max(worker.peak, worker.running) - worker.slots)
            queued = wait * worker.slots / self._estimates.running_time.mean / 2
            load = max(0.0, worker.slots - worker.running) + queued
        else:
            load = min(self.at(worker, now), max(0.0, worker.slots - worker.running))
        worker.other_load, worker.other_load_at = load, now
