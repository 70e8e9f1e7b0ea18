"""Changes that a fleet commits: their kinds, validation and one-line descriptions.

In the log and in messages a change is a plain dict: "kind" and the fields of that kind.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

MIN_FAN_OUT, MAX_FAN_OUT = 2, 64  # members served by one relay
MAX_REPLICAS = 7  # replicas of one key


class ChangeKind(StrEnum):
    """Values of the "kind" field of a change."""

    NOOP = "noop"
    SETTINGS = "settings"
    SETTINGS_PATCH = "patch"
    FAN_OUT = "relays"
    EXCLUDE_WORKER = "out"
    INCLUDE_WORKER = "back"
    REPLICA_COUNT = "copies"
    ADD_MEMBER = "add"
    REMOVE_MEMBER = "remove"
    NEW_INCARNATION = "life"
    GRANT_VOTE = "vote"
    REPLICA_STARTED = "holds"
    REPLICA_CAUGHT_UP = "caught"


MEMBERSHIP_KINDS = frozenset(
    {
        ChangeKind.ADD_MEMBER,
        ChangeKind.REMOVE_MEMBER,
        ChangeKind.NEW_INCARNATION,
        ChangeKind.GRANT_VOTE,
    }
)
# Changes proposed by dispatchers, not by operators; they do not begin a version of the state document.
UNVERSIONED_KINDS = frozenset({ChangeKind.REPLICA_STARTED, ChangeKind.REPLICA_CAUGHT_UP})


def noop() -> dict:
    """Return the no-op change that a new leader appends first in its term (Ongaro 2014, 6.4)."""
    return {"kind": ChangeKind.NOOP.value}


def new_incarnation(name: str, incarnation: str) -> dict:
    """Return the change that admits a member in a new incarnation, as a learner."""
    return {"kind": ChangeKind.NEW_INCARNATION.value, "name": name, "life": incarnation}


def grant_vote(name: str, incarnation: str) -> dict:
    """Return the change that makes a learner a voter."""
    return {"kind": ChangeKind.GRANT_VOTE.value, "name": name, "life": incarnation}


def is_valid_fan_out(fan_out: Any) -> bool:
    """Return whether `fan_out` is an allowed number of members per relay."""
    return type(fan_out) is int and MIN_FAN_OUT <= fan_out <= MAX_FAN_OUT


def is_valid(change: dict) -> bool:
    """Return whether a proposed change can be applied; committing an invalid one would halt every member."""
    fields_are_valid = VALIDATORS.get(change.get("kind"))
    return fields_are_valid is not None and fields_are_valid(change)


def _has_texts(change: dict, *names: str) -> bool:
    return all(isinstance(change.get(name), str) for name in names)


def _is_int(value: Any) -> bool:
    return isinstance(value, int)


def _is_positive(value: Any) -> bool:
    return _is_int(value) and value > 0


def _has_valid_origin(change: dict) -> bool:
    """Return whether "at" and "by", which the history shows, have valid types."""
    return _is_int(change.get("at", 0)) and isinstance(change.get("by", ""), str)


def _valid_settings(change: dict) -> bool:
    return isinstance(change.get("settings"), dict) and _is_int(change.get("expects"))


def _valid_settings_patch(change: dict) -> bool:
    return isinstance(change.get("changes"), list) and _is_int(change.get("expects"))


def _valid_fan_out(change: dict) -> bool:
    return change.get("fan_out") == 0 or is_valid_fan_out(change.get("fan_out"))


def _valid_inclusion(change: dict) -> bool:
    return _has_texts(change, "worker") and _is_int(change.get("at")) and _is_int(change.get("cold_for"))


def _valid_replica_count(change: dict) -> bool:
    return _is_int(change.get("count")) and 1 <= change["count"] <= MAX_REPLICAS


def _valid_replica_started(change: dict) -> bool:
    are_positive = _is_positive(change.get("starts")) and _is_positive(change.get("count"))
    return _has_texts(change, "name", "id") and are_positive


def _valid_replica_caught_up(change: dict) -> bool:
    return _has_texts(change, "name", "id") and _is_positive(change.get("epoch"))


def _origin_and_texts(*names: str) -> Callable[[dict], bool]:
    return lambda change: _has_texts(change, *names) and _has_valid_origin(change)


# NOOP is absent: only the leader itself appends it, and a proposed one is rejected.
VALIDATORS: dict[str, Callable[[dict], bool]] = {
    ChangeKind.SETTINGS: _valid_settings,
    ChangeKind.SETTINGS_PATCH: _valid_settings_patch,
    ChangeKind.FAN_OUT: _valid_fan_out,
    ChangeKind.EXCLUDE_WORKER: _origin_and_texts("worker"),
    ChangeKind.INCLUDE_WORKER: _valid_inclusion,
    ChangeKind.REPLICA_COUNT: _valid_replica_count,
    ChangeKind.ADD_MEMBER: _origin_and_texts("name", "address"),
    ChangeKind.REMOVE_MEMBER: _origin_and_texts("name"),
    ChangeKind.NEW_INCARNATION: _origin_and_texts("name", "life"),
    ChangeKind.GRANT_VOTE: _origin_and_texts("name", "life"),
    ChangeKind.REPLICA_STARTED: _valid_replica_started,
    ChangeKind.REPLICA_CAUGHT_UP: _valid_replica_caught_up,
}

DESCRIPTIONS: dict[str, str] = {
    ChangeKind.SETTINGS: "settings",
    ChangeKind.SETTINGS_PATCH: "settings",
    ChangeKind.FAN_OUT: "relays {fan_out}",
    ChangeKind.EXCLUDE_WORKER: "out {worker}",
    ChangeKind.INCLUDE_WORKER: "back {worker}",
    ChangeKind.REPLICA_COUNT: "copies {count}",
    ChangeKind.ADD_MEMBER: "add {name} {address}",
    ChangeKind.REMOVE_MEMBER: "remove {name}",
    ChangeKind.NEW_INCARNATION: "a new life of {name}",
    ChangeKind.GRANT_VOTE: "{name} votes",
}


def describe(change: dict) -> str:
    """Return the text of a change in the history that operators read."""
    return DESCRIPTIONS[change["kind"]].format_map(change)
