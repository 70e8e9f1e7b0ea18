"""The replicated state machine: the state document of a fleet, and the changes that entries make to it.

Settings, excluded workers, members and replica placement have a module each. The document consists of dicts,
lists, strings and integers, and is stored, sent and shown to operators in this form.
"""

from collections.abc import Callable
from copy import deepcopy

import msgspec

from mastledge.consensus import exclusions, membership, replica_placement, settings_history
from mastledge.consensus.changes import UNVERSIONED_KINDS, ChangeKind, describe
from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus, UnknownChangeError
from mastledge.consensus.messages import Entry

MAX_HISTORY = 64  # versions kept in the history
MAX_RESULTS = 512  # change results kept to recognize repeated changes
FORMAT = 1


class ChangeResult(msgspec.Struct, frozen=True):
    """The result of a committed change, with the document version after it.

    `reason` is why the change was refused, "" if it was not; `status` is the HTTP status of a refusal or 0.
    """

    version: int
    reason: str = ""
    status: int = 0

    def to_document(self) -> dict:
        """Return the result as stored in the state document."""
        if not self.reason:
            return {"version": self.version}
        return {"version": self.version, "why": self.reason, "status": self.status}

    @classmethod
    def from_document(cls, document: dict) -> "ChangeResult":
        """Return the result from its form in the state document."""
        return cls(document["version"], document.get("why", ""), document.get("status", 0))


def initial_state(settings: dict, lease_us: int, members: dict[str, tuple[str, str]]) -> dict:
    """Return version 1 of the state document; `members` is {name: (address, incarnation)}."""
    voters = sorted(members)[: membership.target_voter_count(len(members))]
    return {
        "format": FORMAT,
        "version": 1,
        "settings": settings,
        "settings_version": 1,
        "lease": lease_us,
        "out": [],
        "back": {},
        "gone": [],
        "names": [],
        "documents": {"1": settings},
        "members": {
            name: {"address": address, "life": incarnation, "votes": name in voters, "listed": True}
            for name, (address, incarnation) in members.items()
        },
        "history": [{"version": 1, "what": "formed", "by": "", "at": 0}],
    }


def change_fan_out(state: dict, change: dict) -> None:
    """Set the number of members per relay; 0: no relays, the leader sends to all members."""
    if state.get("fan_out", 0) == change["fan_out"]:
        raise ChangeRefusedError(f"the fan-out is {change['fan_out']} already", RefusalStatus.ALREADY_APPLIED)
    state["fan_out"] = change["fan_out"]


APPLIERS: dict[str, Callable[[dict, dict], None]] = {
    ChangeKind.SETTINGS: settings_history.change_settings,
    ChangeKind.SETTINGS_PATCH: settings_history.patch_settings,
    ChangeKind.FAN_OUT: change_fan_out,
    ChangeKind.EXCLUDE_WORKER: exclusions.exclude_worker,
    ChangeKind.INCLUDE_WORKER: exclusions.include_worker,
    ChangeKind.ADD_MEMBER: membership.change_membership,
    ChangeKind.REMOVE_MEMBER: membership.change_membership,
    ChangeKind.NEW_INCARNATION: membership.change_membership,
    ChangeKind.GRANT_VOTE: membership.change_membership,
    ChangeKind.REPLICA_COUNT: replica_placement.change_replica_count,
    ChangeKind.REPLICA_STARTED: replica_placement.start_replica,
    ChangeKind.REPLICA_CAUGHT_UP: replica_placement.complete_catch_up,
}


class StateMachine:
    """The state document as of one log entry."""

    def __init__(self, state: dict, applied_index: int):
        """Initialize with a document, which is changed in place."""
        self.state, self.applied_index = state, applied_index
        self.results = {id: ChangeResult.from_document(result) for id, result in state["names"]}

    @property
    def version(self) -> int:
        """The version of the document."""
        return self.state["version"]

    @property
    def members(self) -> dict[str, dict]:
        """The committed members by name."""
        return self.state["members"]

    def snapshot(self) -> dict:
        """Return a deep copy of the document."""
        return deepcopy(self.state)

    def apply(self, index: int, entry: Entry) -> ChangeResult:
        """Apply a committed entry and return its result, which is the same on every member.

        A repeated change is applied once. Raise `UnknownChangeError` for a kind that this version does not
        know, as skipping it would make the members' states diverge.
        """
        kind = entry.change["kind"]
        if kind != ChangeKind.NOOP and kind not in APPLIERS:
            raise UnknownChangeError(f"a change of a later version: {kind}")
        self.applied_index = index
        if kind == ChangeKind.NOOP:
            return ChangeResult(self.version)
        if entry.id in self.results:
            return self.results[entry.id]
        result = self._apply_change(entry.change)
        self._record_result(entry.id, result)
        return result

    def _apply_change(self, change: dict) -> ChangeResult:
        try:
            APPLIERS[change["kind"]](self.state, change)
        except ChangeRefusedError as refusal:
            return ChangeResult(self.version, refusal.reason, refusal.status)
        if change["kind"] not in UNVERSIONED_KINDS:
            self._begin_version(change)
        return ChangeResult(self.version)

    def _begin_version(self, change: dict) -> None:
        self.state["version"] += 1
        history_entry = {
            "version": self.state["version"],
            "what": describe(change),
            "by": change.get("by", ""),
            "at": change.get("at", 0),
        }
        self.state["history"] = [*self.state["history"][1 - MAX_HISTORY :], history_entry]

    def _record_result(self, id: str, result: ChangeResult) -> None:
        self.results[id] = result
        self.state["names"].append([id, result.to_document()])
        if len(self.state["names"]) > MAX_RESULTS:
            oldest_id, _ = self.state["names"].pop(0)
            self.results.pop(oldest_id, None)
