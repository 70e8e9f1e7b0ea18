"""A copy of what a fleet has agreed on, and the fleet that begins with it after a majority is lost.

A snapshot is one JSON object with a checksum over the rest (BLAKE2b, keys in order); docs/formats.md.
"""

from copy import deepcopy
from hashlib import blake2b

import msgspec

FORMAT = 1
KIND = "mastledge fleet snapshot"
FAR = 1_000_000  # epochs that are skipped: of those behind the snapshot none may seem the same again
MOST = 4 << 20  # bytes of a snapshot
PARTS = {
    "settings": dict,
    "documents": dict,
    "members": dict,
    "out": list,
    "back": dict,
    "history": list,
    "names": list,
    "gone": list,
    "version": int,
    "settings_version": int,
    "lease": int,
    "format": int,
}


class SnapshotError(ValueError):
    """Why it can't be used; one line."""


def summed(told):
    rest = {name: value for name, value in told.items() if name != "sum"}
    return blake2b(msgspec.json.encode(rest, order="sorted"), digest_size=16).hexdigest()


def packed(state, fleet, by, at):
    """The snapshot as a map; `at` in Unix microseconds."""
    told = {
        "kind": KIND,
        "format": FORMAT,
        "fleet": fleet,
        "version": state["version"],
        "by": by,
        "at": at,
        "state": deepcopy(state),
    }
    return {**told, "sum": summed(told)}


def unpacked(raw):
    """The map of a snapshot that is whole; BadSnapshot with the reason."""
    if len(raw) > MOST:
        raise SnapshotError(f"the snapshot is over {MOST >> 20} MiB")
    try:
        told = msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"the snapshot is cut or no JSON: {error}") from None
    if not isinstance(told, dict) or told.get("kind") != KIND:
        raise SnapshotError("this is no snapshot of a fleet")
    if told.get("format") != FORMAT:
        raise SnapshotError(f"the snapshot is of format {told.get('format')}, this version reads {FORMAT}")
    if told.get("sum") != summed(told):
        raise SnapshotError("the snapshot is spoilt: its checksum differs")
    state = told["state"]
    for part, kind in PARTS.items():
        if not isinstance(state.get(part), kind):
            raise SnapshotError(f"the snapshot lacks {part}")
    return told


def succeeding(state, name, life, holder, what, by, at):
    """The state that a fleet begins with after the one that had this state is lost.

    Its members are the same, but only the one that begins votes: the others come as new lives, each by
    itself. What dispatchers had promised for keys is sure to be found nowhere, so all of it has to run out
    first: no holder of then is known any more. `holder`: id of this one's folder of keys, "" for none.
    """
    after = deepcopy(state)
    after["version"] += 1
    after["history"] = [*after["history"], {"version": after["version"], "what": what, "by": by, "at": at}][
        -64:
    ]
    after["gone"] = []
    after["members"] = {
        other: {**one, "life": life if other == name else "", "votes": other == name}
        for other, one in after["members"].items()
    }
    copies = after.get("copies")
    if copies and copies["epoch"]:
        copies["now"] = {other: f"lost {id_}" for other, id_ in copies["now"].items()}
        copies["epoch"], copies["caught"], copies["starts"] = copies["epoch"] + FAR, [], {}
        copies["next"] = {name: holder} if holder else {}
    return after


def refused(name, state, fleet, known, lease, heard, told=None):
    """Why no fleet may begin here with this state, "" where it may.

    `fleet`, `known`: of the fleet that this member is of, its state or None; `lease`: it holds one; `heard`:
    members that have said something of late and have not lost their folders.
    """
    if lease:
        return "this fleet runs: its majority answers"
    if state is None:
        return "nothing is kept here: give a snapshot, or set form where all folders are empty"
    if name not in state["members"]:
        return f"{name} is no member in it"
    if told is not None and fleet and told["fleet"] != fleet:
        return f"it is of another fleet: {told['fleet']}, not {fleet}"
    if told is not None and known is not None and known["version"] > state["version"]:
        return (
            f"it is of version {state['version']}, and this dispatcher has {known['version']}: "
            "fleet form --accept-loss begins with that"
        )
    voters = [other for other, one in state["members"].items() if one["votes"]]
    there = sorted(set(voters) & (set(heard) | ({name} if known is not None else set())))
    if len(there) > len(voters) // 2:
        return f"a majority is there: {', '.join(there)}"
    return ""
