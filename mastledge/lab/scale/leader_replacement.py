"""The death of the leader in a scale run: how long until another one leads and a change is agreed."""

import time
from typing import Any

from mastledge.lab.scale.consensus_state import consensus_state, is_at_rest, leader_name
from mastledge.lab.scale.errors import ScaleRunError
from mastledge.lab.scale.fleet import CALL_SECONDS, READY_SECONDS, ScaleFleet
from mastledge.lab.scale.settings_changes import AGREED_STATUSES
from mastledge.lab.wire import call

ELECTION_SECONDS = 20.0  # in which another leader has to be there


def milliseconds_since(began: float) -> float:
    """Milliseconds since a time of the monotonic clock, to a tenth of one."""
    return round((time.monotonic() - began) * 1000, 1)


async def replace_leader(fleet: ScaleFleet, figures: dict[str, Any]) -> None:
    """Kills the leader and waits for the next one and for a change; fills `figures` as far as it comes.

    Raises ScaleRunError where the fleet does not come to rest, or nothing of that happens in time.
    """
    await fleet.until(lambda: is_at_rest(fleet), READY_SECONDS, "the fleet does not come to rest")
    killed = await leader_name(fleet)
    if killed not in fleet.nodes:
        raise ScaleRunError("no real dispatcher leads")
    fleet.nodes[killed].process.kill()
    began = time.monotonic()
    asked = next(node for name, node in fleet.nodes.items() if name != killed)

    async def another_leads() -> bool:
        return (await consensus_state(asked)).get("leader", "") not in ("", killed)

    await fleet.until(another_leads, ELECTION_SECONDS, "no other leader")
    figures["new_leader_ms"] = milliseconds_since(began)
    worker = fleet.discovery.any_ready_worker()

    async def change_is_agreed() -> bool:
        path = f"/api/exclude/{worker}"
        status, headers, _ = await call(asked.control, "POST", path, seconds=CALL_SECONDS)
        figures["change_in_force_in_ms"] = int(headers.get(b"in-force-in-ms", b"0"))
        return status in AGREED_STATUSES

    await fleet.until(change_is_agreed, ELECTION_SECONDS, "no change is agreed")
    figures["change_after_kill_ms"] = milliseconds_since(began)
