"""What operators ask of one dispatcher among those that agree: the calls at its second address."""

import time
import uuid

import orjson

from mastledge.consensus import inputs
from mastledge.consensus.changes import MAX_FAN_OUT, MIN_FAN_OUT, is_valid_fan_out
from mastledge.consensus.roles import Role
from mastledge.consensus.settings_patch import difference
from mastledge.protocol.control import Answer, No
from mastledge.recovery import fleet_snapshot
from mastledge.recovery.errors import FleetStartRefusedError, SnapshotError
from mastledge.transport.connection import address_of

PATIENCE = 700_000  # of a caller, who waits for 1 s
LOOK = 5_000
MOST_NAMED = 5  # names in one message


class FleetApi:
    """The part of `Fleet` that answers operators."""

    def calls(self):
        return {
            "/api/agreed": {b"GET": self.agreed},
            "/api/history": {b"GET": self.history},
            "/api/settings": {b"GET": self.settings, b"POST": self.change_settings},
            "/api/settings/": {b"GET": self.settings_of},
            "/api/members": {b"POST": self.change_members},
            "/api/relays": {b"POST": self.change_relays},
            "/api/snapshot": {b"GET": self.snapshot},
            "/api/restore": {b"POST": self.restore},
        }

    def json(self, told, status=200, headers=()):
        return Answer(
            status,
            orjson.dumps(told, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS).decode(),
            [*headers],
            "application/json",
        )

    def speaking(self):
        if self.member is None:
            raise No(503, "here only: the process beside this one speaks for this dispatcher")
        return self.member

    def agreed(self, request):
        member, now = self.speaking(), self.loop.now()
        state = member.state_machine.state if member.state_machine else None
        left = max(0, member.lease.lease_until - now) if member.may_act(now) else 0
        return self.json(
            {
                "name": self.name,
                "fleet": member.fleet,
                "life": member.incarnation,
                "version": self.version(),
                "settings_version": state["settings_version"] if state else 0,
                "in_force": bool(state) and member.lease.in_force_index >= member.commit_index,
                "term": member.term,
                "leader": member.leader or "",
                "leads": member.role == Role.LEADER,
                "fan_out": member.fan_out,
                "relay": member.relay_choice.relay or ""
                if member.fan_out and not member.state.is_voter()
                else "",
                "heard_by": sorted(member.relay_children.children),
                "lease_left_ms": left // 1000,
                "lease_ms": member.lease_us // 1000,
                "members": state["members"] if state else {},
                "out": state["out"] if state else [],
                "out_here": sorted(self.program.upgrade_state.shared["out"]),
                "heard_out": sorted(self.program.excluded.restricted_by_fleet),
                "why": self.unreadable or ("" if left else member.no_lease_reason()),
                "served_without_lease_ms": self.rule.unbound(now) // 1000,
                "disk": "failing" if member.persistence.failed else "good",
                "longest_write_us": self.writer.longest_write_us,
                "longest_step_us": self.longest,
                "frames_sent": self.links.counters.frames_sent,
                "frames_got": self.links.counters.frames_received,
                "bytes_sent": self.links.counters.bytes_sent,
                "bytes_got": self.links.counters.bytes_received,
            }
        )

    def state(self):
        if self.speaking().state_machine is None:
            raise No(503, f"nothing is agreed here yet: {self.member.no_lease_reason()}")
        return self.member.state_machine.state

    def history(self, request):
        return self.json({"history": self.state()["history"]})

    def settings(self, request):
        state = self.state()
        return self.json(state["settings"], headers=[(b"etag", b'"%d"' % state["settings_version"])])

    def settings_of(self, version, request):
        document = self.state()["documents"].get(version)
        if document is None:
            raise No(404, f"no settings of version {version} are kept")
        return self.json(document, headers=[(b"etag", b'"%s"' % version.encode())])

    def change_settings(self, request):
        expects = request.headers.get(b"if-match", b"").decode("latin-1").strip('W/" ')
        if not expects.isdecimal():
            raise No(428, "If-Match has to name the version that is to be changed")
        state = self.state()
        if int(expects) != state["settings_version"]:
            raise No(412, f"settings are of version {state['settings_version']}, not {expects}")
        try:
            document = orjson.loads(request.body)
            if not isinstance(document, dict):
                raise ValueError("settings are one JSON object")
            document = self.shared(document)
            self.whole(document, state)
        except (ValueError, TypeError, AttributeError) as error:
            raise No(400, str(error)) from None
        result = yield from self.changed(self.settings_change(state, document, int(expects)))
        return result

    def settings_change(self, state, document, expects):
        """The whole document, or only what differs where all members know that form."""
        changes = difference(state["settings"], document) if state.get("fan_out") else None
        if changes:
            return {"kind": "patch", "changes": changes, "expects": expects}
        return {"kind": "settings", "settings": document, "expects": expects}

    def change_relays(self, request):
        """How many dispatchers hear from one; 0: all from the leader."""
        member = self.speaking()
        try:
            fan_out = orjson.loads(request.body)["fan_out"]
            if fan_out != 0 and not is_valid_fan_out(fan_out):
                raise ValueError(f"the fan-out is neither 0 nor from {MIN_FAN_OUT} to {MAX_FAN_OUT}")
        except (ValueError, KeyError, TypeError) as error:
            raise No(400, f"{type(error).__name__}: {error}") from None
        if member.role != Role.LEADER:
            raise No(409, f"ask the leader: {member.leader or 'nobody leads'}")
        if older := member.leadership.members_without_relays():
            raise No(409, f"not heard, or of a version without relays: {', '.join(older[:MOST_NAMED])}")
        return (yield from self.changed({"kind": "relays", "fan_out": fan_out}))

    def change_members(self, request):
        try:
            change = orjson.loads(request.body)
            kind, name = change["kind"], change["name"]
            if kind not in ("add", "remove") or not isinstance(name, str) or not name:
                raise ValueError(f"no change of members: {kind!r}")
            if kind == "add":
                address_of(change["address"])
        except (ValueError, KeyError, TypeError) as error:
            raise No(400, f"{type(error).__name__}: {error}") from None
        # Refused at once where it is plain; what crosses another change is refused when it is agreed.
        members = self.state()["members"]
        if (kind == "add") == (name in members):
            raise No(409, f"{name} is {'a member already' if kind == 'add' else 'no member'}")
        return (
            yield from self.changed(
                {key: change[key] for key in ("kind", "name", "address") if key in change}
            )
        )

    def snapshot(self, request):
        """What is agreed, as it is here; asked of one with a lease it is all that is in force."""
        state = self.state()
        return self.json(
            fleet_snapshot.pack_snapshot(state, self.member.fleet, self.name, time.time_ns() // 1000)
        )

    def restore(self, request):
        """Begins a fleet with a snapshot, or with what is kept here; or leaves one that is no more."""
        member, now = self.speaking(), self.loop.now()
        known = member.state_machine.state if member.state_machine else None
        why = {b"accept-loss": "formed, loss accepted", b"desert": ""}.get(bytes(request.body))
        try:
            told = fleet_snapshot.unpack_snapshot(request.body) if why is None else None
        except SnapshotError as error:
            raise No(400, str(error)) from None
        state = told["state"] if told else known
        lease, heard = member.may_act(now) and not self.unreadable, member.discovery.present_members(now)
        if why == "":
            if lease:
                raise No(409, "this fleet runs: its majority answers")
            if known is None:
                raise No(409, "nothing is kept here that could be left")
            self.input(inputs.Abandon(uuid.uuid4().hex[:16]))
            return f"{self.name} has left its fleet, and comes to the next one as new"
        start = fleet_snapshot.FleetStart(self.name, state, told, member.fleet, known, lease, heard)
        try:
            fleet_snapshot.check_fleet_start(start)
        except FleetStartRefusedError as error:
            raise No(409, str(error)) from None
        try:
            self.whole(state["settings"], state)
        except ValueError as error:
            raise No(400, f"its settings can't be read: {error}") from None
        life, holder = uuid.uuid4().hex[:16], ""
        if self.copies is not None and self.copies.node is not None:
            holder = self.copies.directory_id
        what = why or f"restored from version {state['version']}"
        entry = fleet_snapshot.FormationEntry(what, self.name, time.time_ns() // 1000)
        after = fleet_snapshot.successor_state(state, self.name, life, holder, entry)
        self.log("fleet_restored", version=after["version"], before=member.fleet, what=what)
        self.applied = -1
        self.input(inputs.Restore(uuid.uuid4().hex[:16], life, after))
        return f"version {after['version']}: {what}; the others come with empty folders, or by fleet desert"

    def exclude(self, worker):
        return (yield from self.changed({"kind": "out", "worker": worker}))

    def include(self, worker):
        cold_for = self.program.configuration["settings"]["cold_for"]
        return (
            yield from self.changed(
                {"kind": "back", "worker": worker, "at": time.time_ns() // 1000, "cold_for": cold_for}
            )
        )

    def changed(self, change):
        """Hands a change in and waits until it is in force, or for as long as a caller does."""
        self.speaking()
        self.count += 1
        id = f"{self.name}.{self.member.incarnation}.{self.seed & 0xffff}.{time.time_ns()}.{self.count}"
        change = {**change, "by": self.name, "at": change.get("at") or time.time_ns() // 1000}
        last = self.loop.now() + PATIENCE
        self.input(inputs.Propose(id, change))
        try:
            while id not in self.answers:
                self.speaking()
                if self.loop.now() >= last:
                    raise No(503, f"here only: {self.member.no_lease_reason() or 'no leader has answered'}")
                yield (-1, 0, self.loop.now() + LOOK)
            index, result = self.answers[id]
            if result.get("status", 200) != 200:
                raise No(result["status"], result["why"])
            while self.speaking().lease.in_force_index < index and self.loop.now() < last:
                yield (-1, 0, self.loop.now() + LOOK)
        finally:
            self.answers.pop(id, None)
            if self.member is not None:
                self.input(inputs.ForgetProposal(id))
        text = f"version {result['version']}" + (f": {result['why']}" if "why" in result else "")
        etag = [(b"etag", b'"%d"' % result["version"])]
        if self.member.lease.in_force_index >= index:
            return Answer(200, text + " is in force", etag)
        left = max(1, (self.member.lease.in_force_by - self.loop.now()) // 1000)
        return Answer(
            202, f"{text} is in force in {left} ms at the latest", [*etag, (b"in-force-in-ms", b"%d" % left)]
        )
