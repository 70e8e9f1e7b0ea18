"""The placement of key replicas on dispatchers ("copies" in the state document). See docs/replication.md.

"now" holds the current replicas, "next" those that replace them once all of them are in "caught"; "starts" is
the directory id and start count of each dispatcher; "after" is the replica count per key that "next" brings.
"""

from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus


def start_replica(state: dict, change: dict) -> None:
    """Record that a dispatcher has opened its replica directory for the `starts`th time.

    A new directory id means that the directory was empty. Raise `ChangeRefusedError` for an outdated copy.
    """
    name, directory_id, starts = change["name"], change["id"], change["starts"]
    if name not in state["members"]:
        raise ChangeRefusedError(f"{name} is no member", RefusalStatus.CONFLICT)
    placement = state.setdefault("copies", _empty_placement(change["count"]))
    known = placement["starts"].get(name)
    if known is not None and known[0] == directory_id and known[1] >= starts:
        reason = f"the folder of {name} is old: it was opened {known[1]} times, not {starts - 1}"
        raise ChangeRefusedError(reason, RefusalStatus.CONFLICT)
    placement["starts"][name] = [directory_id, starts]
    if not placement["epoch"]:
        _begin_if_enough(state, placement)
        return
    latest = placement["next"] or placement["now"]
    if latest.get(name) != directory_id:
        _begin_epoch(placement, {**latest, name: directory_id})


def _empty_placement(count: int) -> dict:
    return {"epoch": 0, "count": count, "now": {}, "next": None, "caught": [], "starts": {}}


def _begin_if_enough(state: dict, placement: dict) -> None:
    """Start the first epoch once there are enough replicas to hold each key."""
    if len(placement["starts"]) >= min(placement["count"], len(state["members"])):
        placement["epoch"] = 1
        placement["now"] = {name: start[0] for name, start in placement["starts"].items()}


def _begin_epoch(placement: dict, latest: dict[str, str]) -> None:
    """Start an epoch with new replicas; the old ones stay in force until every new one has caught up."""
    placement["epoch"] += 1
    differs = latest != placement["now"] or "after" in placement
    placement["next"], placement["caught"] = (latest if differs else None), []


def remove_replica(state: dict, name: str) -> None:
    """Remove a departing member from the replicas."""
    placement = state.get("copies")
    if placement is None:
        return
    placement["starts"].pop(name, None)
    if placement["epoch"]:
        latest = dict(placement["next"] or placement["now"])
        latest.pop(name, None)
        _begin_epoch(placement, latest)


def change_replica_count(state: dict, change: dict) -> None:
    """Change the number of replicas per key; the set of dispatchers that hold replicas stays the same."""
    placement, count = state.get("copies"), change["count"]
    if placement is None:
        raise ChangeRefusedError("no dispatcher holds copies of keys", RefusalStatus.CONFLICT)
    if count == placement.get("after", placement["count"]):
        raise ChangeRefusedError(f"there are {count} copies of each", RefusalStatus.ALREADY_APPLIED)
    placement.pop("after", None)
    if not placement["epoch"]:
        placement["count"] = count
        return
    if count != placement["count"]:
        placement["after"] = count
    _begin_epoch(placement, placement["next"] or placement["now"])


def complete_catch_up(state: dict, change: dict) -> None:
    """Record that a replica of the next epoch has copied its keys; the last one completes the epoch."""
    placement, name = state.get("copies"), change["name"]
    if placement is None or placement["epoch"] != change["epoch"] or placement["next"] is None:
        raise ChangeRefusedError("the holders have changed since", RefusalStatus.CONFLICT)
    if placement["next"].get(name) != change["id"]:
        raise ChangeRefusedError(f"{name} is none of the holders", RefusalStatus.CONFLICT)
    placement["caught"] = sorted({*placement["caught"], name})
    if len(placement["caught"]) == len(placement["next"]):
        placement["epoch"], placement["now"] = placement["epoch"] + 1, placement["next"]
        placement["next"], placement["caught"] = None, []
        placement["count"] = placement.pop("after", placement["count"])
