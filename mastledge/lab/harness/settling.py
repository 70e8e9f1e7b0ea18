"""The end of a run: all dispatchers have to come to one version in force, and each is noted as it is."""

import json
from typing import TYPE_CHECKING

from mastledge.lab.harness.dispatcher import Dispatcher, RunFailedError
from mastledge.lab.wire import call

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness

SETTLE_TIMEOUT_S = 15.0  # after the run, for all dispatchers to tell the same
STATE_TIMEOUT_S = 2.0


async def settle(harness: "ProcessHarness") -> None:
    """Wait until all that runs tells one version in force, then note what each tells.

    Where they do not within `SETTLE_TIMEOUT_S`, that is noted as `unsettled`.
    """
    running = [node for node in harness.nodes.values() if node.process is not None]
    expected = len(running) - harness.removed
    members: list[Dispatcher] = []

    async def all_agree() -> bool:
        answers = [(node, *await harness.agreed(node)) for node in running]
        of_members = [
            (node, agreed)
            for node, status, agreed in answers
            if status == 200 and node.name in agreed["members"]
        ]
        members[:] = [node for node, _ in of_members]
        states = [agreed for _, agreed in of_members]
        return bool(states) and len(members) >= expected and in_one_state(states)

    try:
        await harness.until(all_agree, SETTLE_TIMEOUT_S, "")
    except RunFailedError:
        harness.note("unsettled")
    for node in members:
        await note_state(harness, node)


def in_one_state(states: list[dict]) -> bool:
    """Whether all tell one version that is in force, and all or none have a lease."""
    versions = {(state["version"], state["in_force"], bool(state["lease_left_ms"])) for state in states}
    return len(versions) == 1 and bool(states[0]["in_force"])


async def note_state(harness: "ProcessHarness", node: Dispatcher) -> None:
    """Note what a dispatcher tells of the state that is agreed, and of its history."""
    status, agreed = await harness.agreed(node, STATE_TIMEOUT_S)
    harness.note("state", who=node.name, status=status, told=agreed)
    status, _, text = await call(node.control, "GET", "/api/history")
    if status == 200:
        harness.note("history", who=node.name, history=json.loads(text)["history"])
