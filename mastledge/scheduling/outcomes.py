"""Outcomes of launches, and what follows for the job: may it have run, and is a repeat harmless?"""

from enum import StrEnum

from mastledge.scheduling.state import Job, Launch


class Effect(StrEnum):
    """Whether jobs of a queue type may run twice; the values are those of the settings."""

    RESTARTABLE = "restartable"
    DEDUPLICATED = "deduplicated"
    RUN_ONCE = "run-once"


class Outcome(StrEnum):
    """How a launch ended; members equal the plain strings, which hosts may pass instead."""

    COMPLETED = "completed"
    ERROR = "error"
    TIMEOUT = "timeout"
    LOST = "lost"
    DROPPED = "dropped"  # a connection that had been idle broke before an answer
    DOUBTED = "doubted"  # rejected by an answer that does not prove that the job never ran
    REVOKED = "revoked"
    FULL = "full"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"


# Looking up an enum member costs a call, so members that are compared for each job are bound here.
RESTARTABLE, DEDUPLICATED, RUN_ONCE = Effect.RESTARTABLE, Effect.DEDUPLICATED, Effect.RUN_ONCE
COMPLETED = Outcome.COMPLETED
NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.UNSENT})
REJECTED = frozenset({Outcome.FULL, Outcome.DOUBTED})
GIVEN_UP = frozenset({Outcome.REVOKED, Outcome.TIMEOUT})
# Not caused by the worker: the dispatcher gave up, or the connection had been idle.
NOT_CAUSED_BY_WORKER = frozenset({Outcome.TIMEOUT, Outcome.REVOKED, Outcome.UNSENT, Outcome.DROPPED})


def may_have_run(outcome: Outcome) -> bool:
    """Return whether a launch with this outcome may have run."""
    return outcome not in NEVER_RAN


def launch_may_have_run(launch: Launch) -> bool:
    """Return whether the launch may have run, or may still run."""
    return launch.may_have_run or not launch.ended


def repeat_is_harmless(job: Job) -> bool:
    """Return whether a client may retry the job without the risk of an unwanted second run."""
    effect = job.queue_type.effect
    if effect == RESTARTABLE or not any(launch_may_have_run(launch) for launch in job.launches):
        return True
    return effect != RUN_ONCE and job.queue_type.group == "all"
