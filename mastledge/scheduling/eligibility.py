"""Worker eligibility of a job: machine kind, group, ejections, earlier launches and slow start."""

from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.outliers import OutlierDetector
from mastledge.scheduling.slow_start import SlowStart
from mastledge.scheduling.state import Job, Worker


class Eligibility:
    """Checks whether a job may be launched on a worker.

    The selector skips the check where it can tell that the worker is eligible.
    """

    def __init__(self, fleet: FleetView, outliers: OutlierDetector, slow_start: SlowStart):
        """Use the given parts; no state is kept here."""
        self._fleet, self._outliers, self._slow_start = fleet, outliers, slow_start

    def is_eligible(self, worker: Worker, job: Job, now: int, group_worker: Worker | None) -> bool:
        """Return whether the job may be launched on the worker now."""
        queue_type = job.queue_type
        if queue_type.kind >= 0 and worker.kind != queue_type.kind:
            return False
        group = queue_type.group
        if group_worker and group != "all" and getattr(worker, group) != getattr(group_worker, group):
            return False
        if worker.ejections and self._outliers.is_kept_out(worker, job, now):
            return False
        if job.launches and self._was_tried(worker, job):
            return False
        if not worker.born:
            return True
        slow_start = self._slow_start
        return not slow_start.is_warming_up(worker, now) or slow_start.within_budget(worker, job, now)

    def _was_tried(self, worker, job) -> bool:
        """Return whether the job was launched on the worker; if all were tried, only one that still runs."""
        all_tried = len(job.launches) >= len(self._fleet.ready)
        return any(launch.worker is worker and not (launch.ended and all_tried) for launch in job.launches)
