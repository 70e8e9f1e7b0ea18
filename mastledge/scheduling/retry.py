"""Whether and where a job may be launched again, by the effect of its queue type."""

from typing import NamedTuple

from mastledge.scheduling.outcomes import DEDUPLICATED, RUN_ONCE, launch_may_have_run
from mastledge.scheduling.state import Job, Worker


class RelaunchLimits(NamedTuple):
    """Limits of a repeat: a worker whose group it must stay in, and when to send it; None: no limit."""

    group_worker: Worker | None
    until: int | None


NO_LIMITS = RelaunchLimits(None, None)


def relaunch_limits(job: Job, max_launches: int, now: int) -> RelaunchLimits | None:
    """Return the limits of the job's next launch; None: it must not be launched again."""
    limits = NO_LIMITS
    queue_type = job.queue_type
    for launch in job.launches:
        if not launch_may_have_run(launch):
            continue
        if queue_type.effect == RUN_ONCE:
            return None
        if queue_type.effect == DEDUPLICATED and limits.group_worker is None:
            limits = RelaunchLimits(launch.worker, launch.sent_at + queue_type.window)
    too_late = limits.until is not None and now >= limits.until
    return None if too_late or len(job.launches) >= max_launches else limits
