"""The operators' call that starts a new fleet after the loss of a majority, or abandons a lost fleet."""

from typing import TYPE_CHECKING, Any

from mastledge.consensus import inputs
from mastledge.consensus.member import Member
from mastledge.program.change_requests import unix_us
from mastledge.program.consensus_driver import new_name
from mastledge.protocol.errors import CallRefusedError
from mastledge.recovery import fleet_snapshot
from mastledge.recovery.errors import FleetStartRefusedError, SnapshotError

if TYPE_CHECKING:
    from mastledge.program.fleet import Fleet

ACCEPT_LOSS_BODY, ABANDON_BODY = b"accept-loss", b"desert"
BAD_REQUEST, CONFLICT = 400, 409


def restore(fleet: "Fleet", body: bytes) -> str:
    """Start a new fleet from the snapshot in `body`, or from the state kept here if `body` accepts the loss.

    If `body` orders it, abandon the fleet instead. Return a line for the operator. Raise `CallRefusedError`
    with the reason, without any change, if the request is refused.
    """
    member = fleet.changes.driver_member()
    if body == ABANDON_BODY:
        return abandon(fleet, member)
    snapshot = None if body == ACCEPT_LOSS_BODY else read_snapshot(body)
    local_state = member.state_machine.state if member.state_machine else None
    state = local_state if snapshot is None else snapshot["state"]
    start = fleet_snapshot.FleetStart(
        name=fleet.configuration.name,
        state=state,
        snapshot=snapshot,
        fleet=member.fleet,
        known_state=local_state,
        holds_lease=has_lease(fleet, member),
        reachable=member.discovery.present_members(fleet.loop.now()),
    )
    try:
        fleet_snapshot.check_fleet_start(start)
    except FleetStartRefusedError as error:
        raise CallRefusedError(CONFLICT, str(error)) from None
    try:
        fleet.settings.complete(state["settings"], state)
    except ValueError as error:
        raise CallRefusedError(BAD_REQUEST, f"its settings can't be read: {error}") from None
    origin = "formed, loss accepted" if snapshot is None else f"restored from version {state['version']}"
    return begin_fleet(fleet, member, state, origin)


def read_snapshot(body: bytes) -> dict[str, Any]:
    """Return the snapshot in a request body; raise `CallRefusedError` if it is invalid."""
    try:
        return fleet_snapshot.unpack_snapshot(body)
    except SnapshotError as error:
        raise CallRefusedError(BAD_REQUEST, str(error)) from None


def has_lease(fleet: "Fleet", member: Member) -> bool:
    """Return whether the current fleet still runs, as far as this member knows."""
    return member.may_act(fleet.loop.now()) and not fleet.settings.unreadable_reason


def abandon(fleet: "Fleet", member: Member) -> str:
    """Have the member abandon its fleet; raise `CallRefusedError` if the fleet runs or no state is kept."""
    if has_lease(fleet, member):
        raise CallRefusedError(CONFLICT, "this fleet runs: its majority answers")
    if member.state_machine is None:
        raise CallRefusedError(CONFLICT, "nothing is kept here that could be left")
    fleet.driver.step(inputs.Abandon(new_name()))
    return f"{fleet.configuration.name} has left its fleet, and comes to the next one as new"


def begin_fleet(fleet: "Fleet", member: Member, state: dict[str, Any], origin: str) -> str:
    """Have the member start a fleet with the successor of `state`; `origin` is the entry in its history."""
    incarnation, name = new_name(), fleet.configuration.name
    replication = fleet.replication
    replica = replication.directory_id if replication is not None and replication.node is not None else ""
    entry = fleet_snapshot.FormationEntry(origin, name, unix_us())
    successor = fleet_snapshot.successor_state(state, name, incarnation, replica, entry)
    fleet.log("fleet_restored", version=successor["version"], before=member.fleet, what=origin)
    fleet.reset_applied_index()
    fleet.driver.step(inputs.Restore(new_name(), incarnation, successor))
    return f"version {successor['version']}: {origin}; the others come with empty folders, or by fleet desert"
