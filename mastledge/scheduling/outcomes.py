"""How a launch can end, and what follows for its job: may it have run, and is a repeat harmless?"""

from enum import StrEnum

from mastledge.scheduling.state import Job, Launch


class Effect(StrEnum):
    """Whether the jobs of a queue type may run twice; the values are those of the settings."""

    RESTARTABLE = "restartable"
    DEDUPLICATED = "deduplicated"
    RUN_ONCE = "run-once"


class Outcome(StrEnum):
    """How a launch ended. Members equal the plain strings of the same value, which hosts may give as well."""

    COMPLETED = "completed"
    ERROR = "error"
    TIMEOUT = "timeout"
    LOST = "lost"
    DROPPED = "dropped"  # the connection broke before an answer, and had stood idle before
    DOUBTED = "doubted"  # rejected by an answer that proves nothing
    REVOKED = "revoked"
    FULL = "full"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"


# A member that is looked up in its class costs a call, so what is compared for each job has a name here.
RESTARTABLE, DEDUPLICATED, RUN_ONCE = Effect.RESTARTABLE, Effect.DEDUPLICATED, Effect.RUN_ONCE
COMPLETED = Outcome.COMPLETED
NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT})
REJECTED = frozenset({Outcome.FULL, Outcome.DOUBTED})
GIVEN_UP = frozenset({Outcome.REVOKED, Outcome.TIMEOUT})
# These say nothing of the worker: the dispatcher gave up, or the connection was an idle one.
NOT_THE_WORKERS_DOING = frozenset({Outcome.TIMEOUT, Outcome.REVOKED, Outcome.UNSENT, Outcome.DROPPED})


def may_have_run(outcome: Outcome) -> bool:
    """Whether a launch that ended like this may have had its effect."""
    return outcome not in NEVER_RAN


def launch_may_have_run(launch: Launch) -> bool:
    """Whether this launch may have had its effect, or may still come to have it."""
    return launch.may_have_run or not launch.ended


def repeat_is_harmless(job: Job) -> bool:
    """Whether a client may send the job again without a risk that it runs twice."""
    effect = job.queue_type.effect
    if effect == RESTARTABLE or not any(launch_may_have_run(launch) for launch in job.launches):
        return True
    return effect != RUN_ONCE and job.queue_type.group == "all"
