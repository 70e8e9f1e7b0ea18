"""Launching of jobs: a launch is added to the worker's load curve, and a timer is set to check it."""

from mastledge.scheduling.affinity import KeyAffinity
from mastledge.scheduling.decisions import LaunchJob
from mastledge.scheduling.hedging import LaunchMonitor
from mastledge.scheduling.other_load import OtherLoad
from mastledge.scheduling.prediction import add_to_curve, slowness
from mastledge.scheduling.slow_start import SlowStart
from mastledge.scheduling.state import Job, Launch, Worker
from mastledge.scheduling.timers import Timers


class Launcher:
    """Launches jobs on workers."""

    def __init__(  # noqa: PLR0913 - the parts that are informed of a launch
        self,
        settings: dict,
        timers: Timers,
        affinity: KeyAffinity,
        other_load: OtherLoad,
        slow_start: SlowStart,
        monitor: LaunchMonitor,
    ):
        """Use the given parts, which are informed of each launch; no state is kept here."""
        self._settings, self._timers, self._affinity = settings, timers, affinity
        self._other_load, self._slow_start, self._monitor = other_load, slow_start, monitor

    def launch(self, job: Job, worker: Worker, now: int, until: int | None) -> LaunchJob:
        """Launch the job on the worker; `until`: when it must be sent (None: no limit)."""
        settings, launch = self._settings, Launch(job, worker, now)
        if not settings["tells_start"]:
            # Starts are not reported: the launch would look like it waits, and its worker like a full one.
            launch.started_at, worker.running = now, worker.running + job.load
        if job.key:
            self._affinity.launched(launch, now)
        if launch.started_at:
            # Starts are not reported: waits must not be learned as running times or as slowness.
            load = worker.load + job.load + self._other_load.at(worker, now)
            launch.uncontended = load <= worker.slots
        slow = slowness(worker, now, settings)
        end = now + int((job.mean + job.variation) * slow + launch.fetch_time)
        launch.mean += launch.fetch_time
        add_to_curve(launch, end)
        worker.in_flight[(job.id, launch.number)] = launch
        job.launches.append(launch)
        job.in_flight += 1
        self._slow_start.charge(worker, job, now)
        if settings["tells_start"]:
            end = self._monitor.first_check_at(launch, now)
        self._timers.set(end, launch)
        return LaunchJob(job.id, worker.id, 0 if until is None else until - now)
