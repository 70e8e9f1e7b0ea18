"""Snapshots of a fleet's committed state, and the new fleet that starts from one after a loss.

A snapshot is one JSON object; its checksum (BLAKE2b, keys sorted) covers the rest. See docs/formats.md.
"""

from collections.abc import Collection
from copy import deepcopy
from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from mastledge.recovery.errors import FleetStartRefusedError, SnapshotError

FORMAT = 1
KIND = "mastledge fleet snapshot"
CHECKSUM_BYTES = 16
MAX_SNAPSHOT_BYTES = 4 << 20
MAX_HISTORY_ENTRIES = 64
SKIPPED_EPOCHS = 1_000_000
"""Added to the epoch, so that no epoch of the lost fleet, even after the snapshot, is used again."""
STATE_PARTS = {
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
"""The required parts of the committed state, with their types."""


@dataclass(frozen=True, slots=True)
class FormationEntry:
    """The history entry of the formation of a new fleet; `by`: a dispatcher, `at`: Unix microseconds."""

    what: str
    by: str
    at: int


@dataclass(frozen=True, slots=True)
class FleetStart:
    """The state that a new fleet would start from, and what is known to the member that would start it.

    `state`: None if there is none; `snapshot`: the source of the state, None if it is the member's own;
    `fleet`, `known_state`: the member's current fleet ("" for none) and the state of that fleet known to the
    member, or None; `holds_lease`: the current fleet still runs, as far as the member knows;
    `reachable`: members that answered recently and have not lost their data directories.
    """

    name: str
    state: dict | None
    snapshot: dict | None
    fleet: str
    known_state: dict | None
    holds_lease: bool
    reachable: Collection[str]


def pack_snapshot(state: dict, fleet: str, by: str, at: int) -> dict:
    """Return a snapshot as a map; `by`: the dispatcher that made it, `at`: its time in Unix microseconds."""
    snapshot = {
        "kind": KIND,
        "format": FORMAT,
        "fleet": fleet,
        "version": state["version"],
        "by": by,
        "at": at,
        "state": deepcopy(state),
    }
    return {**snapshot, "sum": _checksum(snapshot)}


def unpack_snapshot(raw: bytes) -> dict:
    """Return a snapshot as a map; raise SnapshotError if it is damaged, incomplete or of another format."""
    if len(raw) > MAX_SNAPSHOT_BYTES:
        raise SnapshotError(f"the snapshot is over {MAX_SNAPSHOT_BYTES >> 20} MiB")
    try:
        snapshot = msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"the snapshot is cut or no JSON: {error}") from None
    _validate_envelope(snapshot)
    _validate_state(snapshot["state"])
    return snapshot


def _checksum(snapshot: dict) -> str:
    content = {name: value for name, value in snapshot.items() if name != "sum"}
    return blake2b(msgspec.json.encode(content, order="sorted"), digest_size=CHECKSUM_BYTES).hexdigest()


def _validate_envelope(snapshot: object) -> None:
    if not isinstance(snapshot, dict) or snapshot.get("kind") != KIND:
        raise SnapshotError("this is no snapshot of a fleet")
    if snapshot.get("format") != FORMAT:
        raise SnapshotError(
            f"the snapshot is of format {snapshot.get('format')}, this version reads {FORMAT}"
        )
    if snapshot.get("sum") != _checksum(snapshot):
        raise SnapshotError("the snapshot is spoilt: its checksum differs")


def _validate_state(state: dict) -> None:
    for part, expected_type in STATE_PARTS.items():
        if not isinstance(state.get(part), expected_type):
            raise SnapshotError(f"the snapshot lacks {part}")


def successor_state(
    state: dict, name: str, incarnation: str, directory_id: str, entry: FormationEntry
) -> dict:
    """Return the state that a new fleet starts from after the fleet of `state` is lost; `state` is unchanged.

    The members stay, but only `name`, which starts the fleet, is a voter: each of the others joins later as a
    new incarnation. `directory_id`: the id of the starting member's data directory for idempotency keys, or
    "" for none.
    """
    successor = deepcopy(state)
    version = state["version"] + 1
    successor["version"] = version
    formation = {"version": version, "what": entry.what, "by": entry.by, "at": entry.at}
    successor["history"] = [*successor["history"], formation][-MAX_HISTORY_ENTRIES:]
    successor["gone"] = []
    successor["members"] = {
        other: {**member, "life": incarnation if other == name else "", "votes": other == name}
        for other, member in successor["members"].items()
    }
    _void_replicas(successor.get("copies"), name, directory_id)
    return successor


def _void_replicas(copies: dict | None, name: str, directory_id: str) -> None:
    """Mark all replicas as lost: the keys that they acknowledged may be stored nowhere and must expire."""
    if not copies or not copies["epoch"]:
        return
    copies["now"] = {other: f"lost {id}" for other, id in copies["now"].items()}
    copies["epoch"] += SKIPPED_EPOCHS
    copies["caught"], copies["starts"] = [], {}
    copies["next"] = {name: directory_id} if directory_id else {}


def check_fleet_start(start: FleetStart) -> None:
    """Raise FleetStartRefusedError if this member may not start a fleet with this state."""
    if start.holds_lease:
        raise FleetStartRefusedError("this fleet runs: its majority answers")
    if start.state is None:
        raise FleetStartRefusedError(
            "nothing is kept here: give a snapshot, or set form where all folders are empty"
        )
    if start.name not in start.state["members"]:
        raise FleetStartRefusedError(f"{start.name} is no member in it")
    if start.snapshot is not None:
        _check_origin(start)
    _check_majority_is_lost(start)


def _check_origin(start: FleetStart) -> None:
    """Raise FleetStartRefusedError for a snapshot of another fleet, or older than the known state."""
    if start.fleet and start.snapshot["fleet"] != start.fleet:
        raise FleetStartRefusedError(f"it is of another fleet: {start.snapshot['fleet']}, not {start.fleet}")
    if start.known_state is None:
        return
    version, known_version = start.state["version"], start.known_state["version"]
    if known_version > version:
        raise FleetStartRefusedError(
            f"it is of version {version}, and this dispatcher has {known_version}: "
            "fleet form --accept-loss begins with that"
        )


def _check_majority_is_lost(start: FleetStart) -> None:
    voters = {name for name, member in start.state["members"].items() if member["votes"]}
    own_vote = {start.name} if start.known_state is not None else set()
    present = sorted(voters & (set(start.reachable) | own_vote))
    if len(present) > len(voters) // 2:
        raise FleetStartRefusedError(f"a majority is there: {', '.join(present)}")
