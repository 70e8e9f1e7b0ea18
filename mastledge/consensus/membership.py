"""Who is a member of the fleet, and who of them votes."""

from mastledge.consensus.changes import ChangeKind
from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus
from mastledge.consensus.replica_placement import remove_replica

MAX_DEPARTED = 8  # members that left and may still hold a lease
MIN_REDUNDANT, MAX_VOTERS = 3, 7


def wanted_voters(count: int) -> int:
    """Return how many of so many members vote: 3 to 7, and odd.

    An even number needs one more for a majority and survives no more failures.
    """
    return count if count < MIN_REDUNDANT else min(MAX_VOTERS, count - 1 + count % 2)


def members_after(members: dict[str, dict], change: dict) -> dict[str, dict]:
    """Return the members after a change of them, committed or not.

    Raises `ChangeRefusedError` where it does not fit; each member comes to the same.
    """
    kind, name = change["kind"], change["name"]
    if kind == ChangeKind.ADD_MEMBER:
        return _added(members, name, change["address"])
    member = members.get(name)
    if member is None:
        raise ChangeRefusedError(f"{name} is no member", RefusalStatus.CONFLICT)
    if kind == ChangeKind.REMOVE_MEMBER:
        if len(members) == 1:
            raise ChangeRefusedError(f"{name} is the last member", RefusalStatus.CONFLICT)
        return {other: one for other, one in members.items() if other != name}
    if kind == ChangeKind.NEW_INCARNATION:
        return {**members, name: {**member, "life": change["life"], "votes": False}}
    if member["life"] != change["life"] or member["votes"]:
        raise ChangeRefusedError(f"{name} has another life", RefusalStatus.CONFLICT)
    return {**members, name: {**member, "votes": True}}


def _added(members: dict[str, dict], name: str, address: str) -> dict[str, dict]:
    if name in members:
        raise ChangeRefusedError(f"{name} is a member already", RefusalStatus.CONFLICT)
    if any(member["address"] == address for member in members.values()):
        raise ChangeRefusedError(f"another member is at {address}", RefusalStatus.CONFLICT)
    return {**members, name: {"address": address, "life": "", "votes": False}}


def change_membership(state: dict, change: dict) -> None:
    """Apply a committed change of the members to the state document."""
    name, before = change["name"], state["members"]
    after = members_after(before, change)
    if change["kind"] == ChangeKind.REMOVE_MEMBER:
        departed = {"name": name, "life": before[name]["life"], "address": before[name]["address"]}
        state["gone"] = [*state["gone"][1 - MAX_DEPARTED :], departed]
        remove_replica(state, name)
    elif change["kind"] == ChangeKind.ADD_MEMBER:
        state["gone"] = [one for one in state["gone"] if one["name"] != name]
    state["members"] = after
