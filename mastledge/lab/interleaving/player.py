"""Plays steps: one, or several that a busy loop finds at once; then all to its end."""

from mastledge.lab.interleaving.places import TIME
from mastledge.lab.interleaving.program_settings import (
    CONNECT_TIMEOUT_US,
    DRAIN_GRACE_US,
    WALLTIME_US,
    WINDOW_US,
)
from mastledge.lab.interleaving.program_state import has_jobs
from mastledge.lab.interleaving.steps import STEPS
from mastledge.lab.interleaving.worker_peer import ConnectionState
from mastledge.lab.interleaving.world import World
from mastledge.lab.invariants.record_queries import SLACK

TIMED_STEPS = (*TIME, "nearly-window")
BUSY_US = 150_000  # for which the loop stood still where two steps come at once
AHEAD_US = 1_000  # of a step of time, the others that come at once with it
JOB_CHECK_US = 20_000
LONGEST_REST_US = 2 * WALLTIME_US
QUIET_US = 1_000_000
AFTER_REQUEST_US = {
    "walltime": WALLTIME_US,
    "nearly-window": WINDOW_US - CONNECT_TIMEOUT_US // 2,
    "window": WINDOW_US + 2 * SLACK,
}


def time_of(world: World, step: str) -> int:
    """Give the time at which a step of time is there."""
    now = world.clock.at
    if step in AFTER_REQUEST_US:
        span = AFTER_REQUEST_US[step]
        return max([now, *(event["at"] + span for event in world.events if event["kind"] == "sent")])
    if step == "timer":
        due = world.clock.due()
        return now if due is None else max(now, due)
    return now + (CONNECT_TIMEOUT_US if step == "connect-time" else DRAIN_GRACE_US + 2 * SLACK)


def perform(world: World, *steps: str) -> None:
    """Play one step, or several that a busy loop finds at once.

    Time passes up to the time of a step of time; the others of its group are there just before.
    """
    target = max((time_of(world, step) for step in steps if step in TIMED_STEPS), default=None)
    if target is not None and target > world.clock.at + AHEAD_US:
        world.pass_time(target - AHEAD_US - world.clock.at)
    world.barriers += 1
    for step in steps:
        if step not in TIMED_STEPS:
            STEPS[step](world)
    if target is not None:
        world.clock.at = max(world.clock.at, target)
    elif len(steps) > 1:
        world.clock.at, world.busy_us = world.clock.at + BUSY_US, BUSY_US
    world.settle()


def come_to_rest(world: World) -> None:
    """Let peers do what they usually do until nobody waits; then long enough for what is late."""
    world.readiness.held = world.discovery.silent = False
    world.settle()
    finish_jobs(world)
    for client in world.clients:
        if client.open and client.unsent:
            client.close()
    world.pass_time(WALLTIME_US)
    for client in world.clients:
        if client.open:
            client.close()
    world.pass_time(QUIET_US)


def finish_jobs(world: World) -> None:
    """Answer launches until the program has no job, ends, or goes on for too long."""
    last = world.clock.at + LONGEST_REST_US
    while world.clock.at < last and world.loop.running:
        if world.newest_connection(ConnectionState.ASKED, ConnectionState.TAKEN) is not None:
            perform(world, "worker-done")
        elif world.newest_connection(ConnectionState.ENDING) is not None:
            perform(world, "worker-last-chunk")
        elif has_jobs(world.program):
            world.pass_time(JOB_CHECK_US)
        else:
            break
