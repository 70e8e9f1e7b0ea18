"""Changes of the fleet's members and voters."""

from mastledge.consensus.changes import ChangeKind
from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus
from mastledge.consensus.replica_placement import remove_replica

MAX_DEPARTED = 8  # departed members kept in the state, as they may still hold a lease
MIN_REDUNDANT, MAX_VOTERS = 3, 7


def target_voter_count(count: int) -> int:
    """Return the number of voters among `count` members: odd, 3 to 7, or all of fewer than 3 members.

    An even number of voters needs a larger majority but tolerates no more failures.
    """
    return count if count < MIN_REDUNDANT else min(MAX_VOTERS, count - 1 + count % 2)


def members_after(members: dict[str, dict], change: dict) -> dict[str, dict]:
    """Return the members after a membership change, committed or not.

    Raise `ChangeRefusedError` if the change does not apply; the result is the same on every member.
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
        return {other: record for other, record in members.items() if other != name}
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
    """Apply a committed membership change to the state document."""
    name, before = change["name"], state["members"]
    after = members_after(before, change)
    if change["kind"] == ChangeKind.REMOVE_MEMBER:
        departed = {"name": name, "life": before[name]["life"], "address": before[name]["address"]}
        state["gone"] = [*state["gone"][1 - MAX_DEPARTED :], departed]
        remove_replica(state, name)
    elif change["kind"] == ChangeKind.ADD_MEMBER:
        state["gone"] = [former for former in state["gone"] if former["name"] != name]
    state["members"] = after
