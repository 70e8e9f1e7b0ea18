"""Whether and where a job may be launched once more, by the effect of its queue type."""

from typing import NamedTuple

from mastledge.scheduling.outcomes import DEDUPLICATED, RUN_ONCE, launch_may_have_run
from mastledge.scheduling.state import Job, Worker


class RelaunchLimits(NamedTuple):
    """A repeat has to go to the group of this worker, and to be sent before that time; None: no limit."""

    group_of: Worker | None
    until: int | None


NO_LIMITS = RelaunchLimits(None, None)


def relaunch_limits(job: Job, most_launches: int, now: int) -> RelaunchLimits | None:
    """What limits the next launch of the job; None: there must not be one."""
    limits = NO_LIMITS
    queue_type = job.queue_type
    for launch in job.launches:
        if not launch_may_have_run(launch):
            continue
        if queue_type.effect == RUN_ONCE:
            return None
        if queue_type.effect == DEDUPLICATED and limits.group_of is None:
            limits = RelaunchLimits(launch.worker, launch.sent_at + queue_type.window)
    too_late = limits.until is not None and now >= limits.until
    return None if too_late or len(job.launches) >= most_launches else limits
