"""The operators' API of a dispatcher in a fleet, served at its control address.

Each call takes a request and returns an answer or a text, or is a coroutine that does. A call raises
`CallRefusedError`, with a status and a reason, to refuse a request.
"""

from collections.abc import Callable, Generator, Iterable
from typing import TYPE_CHECKING, Any

import orjson

from mastledge.consensus.changes import MAX_FAN_OUT, MIN_FAN_OUT, ChangeKind, is_valid_fan_out
from mastledge.consensus.member import Member
from mastledge.consensus.roles import Role
from mastledge.consensus.settings_patch import difference
from mastledge.program.agreed_settings import shared_settings
from mastledge.program.change_requests import OK, US_PER_MS, unix_us
from mastledge.program.fleet_restore import BAD_REQUEST, CONFLICT, restore
from mastledge.protocol.control import Answer
from mastledge.protocol.errors import CallRefusedError
from mastledge.recovery import fleet_snapshot
from mastledge.transport.connection import address_of

if TYPE_CHECKING:
    from mastledge.program.fleet import Fleet

MAX_NAMES_IN_MESSAGE = 5
NOT_FOUND, PRECONDITION_FAILED, PRECONDITION_REQUIRED, UNAVAILABLE = 404, 412, 428, 503
Call = Callable[..., Any]


def json_answer(document: Any, headers: Iterable[tuple[bytes, bytes]] = ()) -> Answer:
    """Return an answer with a document as indented JSON with sorted keys."""
    text = orjson.dumps(document, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode()
    return Answer(OK, text, [*headers], "application/json")


class FleetApi:
    """Handles the operators' calls about a fleet."""

    def __init__(self, fleet: "Fleet") -> None:
        """Take the fleet that the calls read and change."""
        self.fleet = fleet

    def calls(self) -> dict[str, dict[bytes, Call]]:
        """Return the calls by path and method; a path that ends with a slash takes one more segment."""
        return {
            "/api/agreed": {b"GET": self.show_agreed},
            "/api/history": {b"GET": self.show_history},
            "/api/settings": {b"GET": self.show_settings, b"POST": self.change_settings},
            "/api/settings/": {b"GET": self.show_settings_version},
            "/api/members": {b"POST": self.change_members},
            "/api/relays": {b"POST": self.change_relays},
            "/api/snapshot": {b"GET": self.snapshot},
            "/api/restore": {b"POST": self.restore},
        }

    # The agreed state

    def show_agreed(self, request: Any) -> Answer:
        """Return versions, leadership, the lease, the members, and figures of this process."""
        member = self.fleet.changes.driver_member()
        now = self.fleet.loop.now()
        return json_answer(
            {
                **self._state_figures(member),
                **self._member_figures(member),
                **self._lease_figures(member, now),
                **self._process_figures(member),
            }
        )

    def _state_figures(self, member: Member) -> dict[str, Any]:
        state = member.state_machine.state if member.state_machine else None
        program = self.fleet.program
        return {
            "version": self.fleet.version(),
            "settings_version": state["settings_version"] if state else 0,
            "in_force": bool(state) and member.lease.in_force_index >= member.commit_index,
            "members": state["members"] if state else {},
            "out": state["out"] if state else [],
            "out_here": sorted(program.upgrade_state.shared["out"]),
            "heard_out": sorted(program.excluded.restricted_by_fleet),
        }

    def _member_figures(self, member: Member) -> dict[str, Any]:
        uses_relay = member.fan_out and not member.state.is_voter()
        return {
            "name": self.fleet.configuration.name,
            "fleet": member.fleet,
            "life": member.incarnation,
            "term": member.term,
            "leader": member.leader or "",
            "leads": member.role == Role.LEADER,
            "fan_out": member.fan_out,
            "relay": member.relay_choice.relay or "" if uses_relay else "",
            "heard_by": sorted(member.relay_children.children),
        }

    def _lease_figures(self, member: Member, now: int) -> dict[str, Any]:
        left_us = max(0, member.lease.lease_until - now) if member.may_act(now) else 0
        reason = "" if left_us else member.no_lease_reason()
        without_lease_us = self.fleet.lease_guard.served_without_lease_us(now)
        return {
            "lease_left_ms": left_us // US_PER_MS,
            "lease_ms": member.lease_us // US_PER_MS,
            "why": self.fleet.settings.unreadable_reason or reason,
            "served_without_lease_ms": without_lease_us // US_PER_MS,
        }

    def _process_figures(self, member: Member) -> dict[str, Any]:
        driver = self.fleet.driver
        counters = driver.links.counters
        return {
            "disk": "failing" if member.persistence.failed else "good",
            "longest_write_us": driver.writer.longest_write_us,
            "longest_step_us": driver.longest_step_us,
            "frames_sent": counters.frames_sent,
            "frames_got": counters.frames_received,
            "bytes_sent": counters.bytes_sent,
            "bytes_got": counters.bytes_received,
        }

    def _state(self) -> dict[str, Any]:
        member = self.fleet.changes.driver_member()
        if member.state_machine is None:
            raise CallRefusedError(UNAVAILABLE, f"nothing is agreed here yet: {member.no_lease_reason()}")
        return member.state_machine.state

    def show_history(self, request: Any) -> Answer:
        """Return the latest versions."""
        return json_answer({"history": self._state()["history"]})

    def snapshot(self, request: Any) -> Answer:
        """Return a fleet snapshot of the local state; with the lease held, it has all that is in force."""
        state = self._state()
        name, fleet_name = self.fleet.configuration.name, self.fleet.member.fleet
        return json_answer(fleet_snapshot.pack_snapshot(state, fleet_name, name, unix_us()))

    # Settings

    def show_settings(self, request: Any) -> Answer:
        """Return the current settings, with their version as the ETag."""
        state = self._state()
        return json_answer(state["settings"], [(b"etag", b'"%d"' % state["settings_version"])])

    def show_settings_version(self, version: str, request: Any) -> Answer:
        """Return the settings of a recent version."""
        document = self._state()["documents"].get(version)
        if document is None:
            raise CallRefusedError(NOT_FOUND, f"no settings of version {version} are kept")
        return json_answer(document, [(b"etag", b'"%s"' % version.encode())])

    def change_settings(self, request: Any) -> Generator[tuple, object, Answer]:
        """Change the settings if the current version is the one in If-Match, as a coroutine."""
        expected = request.headers.get(b"if-match", b"").decode("latin-1").strip('W/" ')
        if not expected.isdecimal():
            raise CallRefusedError(
                PRECONDITION_REQUIRED, "If-Match has to name the version that is to be changed"
            )
        state = self._state()
        if int(expected) != state["settings_version"]:
            version = state["settings_version"]
            raise CallRefusedError(PRECONDITION_FAILED, f"settings are of version {version}, not {expected}")
        document = self._read_settings(request.body, state)
        change = settings_change(state, document, int(expected))
        return (yield from self.fleet.changes.commit(change))

    def _read_settings(self, body: bytes, state: dict[str, Any]) -> dict[str, Any]:
        try:
            document = orjson.loads(body)
            if not isinstance(document, dict):
                raise ValueError("settings are one JSON object")
            document = shared_settings(document)
            self.fleet.settings.complete(document, state)
        except (ValueError, TypeError, AttributeError) as error:
            raise CallRefusedError(BAD_REQUEST, str(error)) from None
        return document

    # Members and workers

    def change_members(self, request: Any) -> Generator[tuple, object, Answer]:
        """Add or remove a member, as a coroutine."""
        change = read_membership_change(request.body)
        adds, name = change["kind"] == ChangeKind.ADD_MEMBER, change["name"]
        # Refuse an obvious conflict now; a conflict with a concurrent change is refused when it is applied.
        if adds == (name in self._state()["members"]):
            raise CallRefusedError(CONFLICT, f"{name} is {'a member already' if adds else 'no member'}")
        return (yield from self.fleet.changes.commit(change))

    def change_relays(self, request: Any) -> Generator[tuple, object, Answer]:
        """Set the fan-out of the relays, as a coroutine; with 0, the leader sends to every dispatcher."""
        member = self.fleet.changes.driver_member()
        fan_out = read_fan_out(request.body)
        if member.role != Role.LEADER:
            raise CallRefusedError(CONFLICT, f"ask the leader: {member.leader or 'nobody leads'}")
        if older := member.leadership.members_without_relays():
            names = ", ".join(older[:MAX_NAMES_IN_MESSAGE])
            raise CallRefusedError(CONFLICT, f"not heard, or of a version without relays: {names}")
        return (yield from self.fleet.changes.commit({"kind": ChangeKind.FAN_OUT.value, "fan_out": fan_out}))

    def exclude(self, worker: str) -> Generator[tuple, object, Answer]:
        """Exclude a worker from new jobs on all dispatchers, as a coroutine."""
        change = {"kind": ChangeKind.EXCLUDE_WORKER.value, "worker": worker}
        return (yield from self.fleet.changes.commit(change))

    def include(self, worker: str) -> Generator[tuple, object, Answer]:
        """Include an excluded worker again, with slow start, as a coroutine."""
        change = {
            "kind": ChangeKind.INCLUDE_WORKER.value,
            "worker": worker,
            "at": unix_us(),
            "cold_for": self.fleet.program.configuration["settings"]["cold_for"],
        }
        return (yield from self.fleet.changes.commit(change))

    # After a majority is lost

    def restore(self, request: Any) -> str:
        """Start a new fleet from a snapshot or from the state kept here, or abandon a lost fleet."""
        return restore(self.fleet, bytes(request.body))


def settings_change(state: dict[str, Any], document: dict[str, Any], expected: int) -> dict[str, Any]:
    """Return the change to new settings: only the differences if all members support that, else all of it."""
    differences = difference(state["settings"], document) if state.get("fan_out") else None
    if differences:
        return {"kind": ChangeKind.SETTINGS_PATCH.value, "changes": differences, "expects": expected}
    return {"kind": ChangeKind.SETTINGS.value, "settings": document, "expects": expected}


def read_membership_change(body: bytes) -> dict[str, Any]:
    """Return the requested membership change; raise `CallRefusedError` if the body is not a valid one."""
    try:
        change = orjson.loads(body)
        kind, name = change["kind"], change["name"]
        is_kind = kind in (ChangeKind.ADD_MEMBER, ChangeKind.REMOVE_MEMBER)
        if not is_kind or not isinstance(name, str) or not name:
            raise ValueError(f"no change of members: {kind!r}")
        if kind == ChangeKind.ADD_MEMBER:
            address_of(change["address"])
    except (ValueError, KeyError, TypeError) as error:
        raise CallRefusedError(BAD_REQUEST, f"{type(error).__name__}: {error}") from None
    return {key: change[key] for key in ("kind", "name", "address") if key in change}


def read_fan_out(body: bytes) -> int:
    """Return the requested fan-out; raise `CallRefusedError` if it is invalid."""
    try:
        fan_out = orjson.loads(body)["fan_out"]
        if fan_out != 0 and not is_valid_fan_out(fan_out):
            raise ValueError(f"the fan-out is neither 0 nor from {MIN_FAN_OUT} to {MAX_FAN_OUT}")
    except (ValueError, KeyError, TypeError) as error:
        raise CallRefusedError(BAD_REQUEST, f"{type(error).__name__}: {error}") from None
    return fan_out
