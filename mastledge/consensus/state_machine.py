"""The replicated state machine: the document that a fleet agrees on, and how committed entries change it.

Settings, excluded workers, members and replicas of keys have a module each; the document is plain maps,
lists, text and whole numbers, as it is stored, sent and shown to operators.
"""

from collections.abc import Callable
from copy import deepcopy

import msgspec

from mastledge.consensus import exclusions, membership, replica_placement, settings_history
from mastledge.consensus.changes import UNVERSIONED_KINDS, ChangeKind, describe
from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus, UnknownChangeError
from mastledge.consensus.messages import Entry

MAX_HISTORY = 64  # versions in the history
MAX_RESULTS = 512  # of changes, by which one that comes again is known
FORMAT = 1


class ChangeResult(msgspec.Struct, frozen=True):
    """What became of a committed change: the version that it made, or that it met where it was refused.

    `reason` is why it was refused, "" where it was not; `status` is the one of the HTTP answer then, else 0.
    """

    version: int
    reason: str = ""
    status: int = 0

    def to_document(self) -> dict:
        """Return its form in the state document."""
        if not self.reason:
            return {"version": self.version}
        return {"version": self.version, "why": self.reason, "status": self.status}

    @classmethod
    def from_document(cls, document: dict) -> "ChangeResult":
        """Read its form in the state document."""
        return cls(document["version"], document.get("why", ""), document.get("status", 0))


def initial_state(settings: dict, lease_us: int, members: dict[str, tuple[str, str]]) -> dict:
    """Return the first version of the document; `members` are {name: (address, incarnation)}."""
    voters = sorted(members)[: membership.wanted_voters(len(members))]
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
    """Apply how many members hear from one relay; 0: all hear from the leader."""
    if state.get("fan_out", 0) == change["fan_out"]:
        raise ChangeRefusedError(f"the fan-out is {change['fan_out']} already", RefusalStatus.ALREADY_SO)
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
        """Take over a document; it is changed in place from here on."""
        self.state, self.applied_index = state, applied_index
        self.results = {id: ChangeResult.from_document(result) for id, result in state["names"]}

    @property
    def version(self) -> int:
        """The version of the document, as operators count it."""
        return self.state["version"]

    @property
    def members(self) -> dict[str, dict]:
        """The members by name, as committed."""
        return self.state["members"]

    def snapshot(self) -> dict:
        """Return a copy of the document that later entries do not change."""
        return deepcopy(self.state)

    def apply(self, index: int, entry: Entry) -> ChangeResult:
        """Apply one committed entry; its result is the same at each member.

        A change that comes twice counts once. Raises `UnknownChangeError` for a kind that this version does
        not know: to leave it out would part the members.
        """
        kind = entry.change["kind"]
        if kind != ChangeKind.NOOP and kind not in APPLIERS:
            raise UnknownChangeError(f"a change of a later version: {kind}")
        self.applied_index = index
        if kind == ChangeKind.NOOP:
            return ChangeResult(self.version)
        if entry.id in self.results:
            return self.results[entry.id]
        result = self._applied(entry.change)
        self._remember(entry.id, result)
        return result

    def _applied(self, change: dict) -> ChangeResult:
        try:
            APPLIERS[change["kind"]](self.state, change)
        except ChangeRefusedError as refusal:
            return ChangeResult(self.version, refusal.reason, refusal.status)
        if change["kind"] not in UNVERSIONED_KINDS:
            self._begin_version(change)
        return ChangeResult(self.version)

    def _begin_version(self, change: dict) -> None:
        self.state["version"] += 1
        line = {
            "version": self.state["version"],
            "what": describe(change),
            "by": change.get("by", ""),
            "at": change.get("at", 0),
        }
        self.state["history"] = [*self.state["history"][1 - MAX_HISTORY :], line]

    def _remember(self, id: str, result: ChangeResult) -> None:
        self.results[id] = result
        self.state["names"].append([id, result.to_document()])
        if len(self.state["names"]) > MAX_RESULTS:
            oldest, _ = self.state["names"].pop(0)
            self.results.pop(oldest, None)
