"""All uses of the program by the tests of stored data and wire messages.

The other files of these tests (`forms.py`, `form_samples.py`, `test_stored_and_wire_forms.py`) neither import
from the program nor use its names, so that a rename in the program changes this file only.
"""

import io
import socket
from dataclasses import asdict
from pathlib import Path
from types import SimpleNamespace
from typing import get_args

from helpers import HERE, Rig, arrive, entry, pull, scheduler

from mastledge.adapter import frames as adapter_frames
from mastledge.adapter import host as adapter_host
from mastledge.consensus import inputs, outputs, state_machine
from mastledge.consensus import messages as consensus_messages
from mastledge.consensus import persisted_state as consensus_persisted
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.member import Member
from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest
from mastledge.idempotency.persisted_keys import PersistedKeys
from mastledge.peers import frames as link_frames
from mastledge.peers import links
from mastledge.peers.link_context import LinkIdentity
from mastledge.program import (
    connection_handoff,
    connection_takeover,
    handed_off_job,
    recovery_peer_poll,
    replication_frames,
)
from mastledge.program.fleet_api import json_answer
from mastledge.program.recovery_clock import RecoveryClock
from mastledge.program.recovery_persistence import RecoveryPersistence
from mastledge.program.recovery_records import RecordBuilder
from mastledge.program.shared_lease import LeaseNotice, SharedLease
from mastledge.program.shared_lease_exchange import lent_state
from mastledge.program.upgrade_state import UpgradeState
from mastledge.protocol import load_messages
from mastledge.protocol.worker_endpoint import WorkerEndpoint
from mastledge.recovery import fleet_snapshot as snapshot_format
from mastledge.recovery import messages as recovery_messages
from mastledge.recovery import recovery_record
from mastledge.replication import inputs as replication_inputs
from mastledge.replication import messages as replication_messages
from mastledge.replication import persisted_state as replica_persisted
from mastledge.replication.node import Node, NodeOptions
from mastledge.replication.outputs import Persist
from mastledge.scheduling.decisions import LaunchJob
from mastledge.storage import frames, write_ahead_log
from mastledge.storage.data_directory import DataDirectory
from mastledge.transport import descriptor_passing

ADAPTER_MODULE = "mastledge.adapter"
ENDINGS = adapter_host.OUTCOMES
RECOVERY_MESSAGE = recovery_messages.AnyMessage


class MessageFamily:
    """A set of messages: its union type, decoder and encoder, and the mark that precedes a message."""

    def __init__(self, union, decode, encode, mark=b""):
        self.union, self.decode, self.encode, self.mark = union, decode, encode, mark

    def classes(self):
        """Return the message classes by tag."""
        return {message_class.__struct_config__.tag: message_class for message_class in get_args(self.union)}

    def read(self, raw):
        if not raw.startswith(self.mark):
            raise ValueError(f"message does not begin with {self.mark!r}")
        return self.decode(raw[len(self.mark) :])

    def written(self, message):
        return self.mark + self.encode(message)


MESSAGES = {
    "agreement": MessageFamily(
        consensus_messages.AnyMessage, consensus_messages.decode, consensus_messages.encode
    ),
    "copies": MessageFamily(
        replication_messages.AnyMessage, replication_messages.decode, replication_messages.encode
    ),
    "recovery": MessageFamily(
        RECOVERY_MESSAGE, recovery_messages.decode, recovery_messages.encode, recovery_peer_poll.FRAME_MARK
    ),
}
COPIES_FRAME = MessageFamily(
    replication_messages.AnyMessage,
    replication_frames.decode,
    replication_frames.encode,
    replication_frames.MARK,
)
COPIES_LIST = MessageFamily(
    replication_messages.AnyMessage, replication_messages.decode_all, replication_messages.encode_all
)
HELLO = MessageFamily(link_frames.Hello, link_frames.decode_hello, link_frames.encode_hello)
frame_on_link = link_frames.encode_frame
LONGEST_FRAME_BYTES = link_frames.MAX_FRAME_BYTES

frame_of_records, records_of_content, whole_frame = (
    frames.encode_frame,
    frames.decode_content,
    frames.whole_frame,
)
JOURNAL_MAGIC, JOURNAL_FRAME_HEAD = frames.FILE_MAGIC, frames.FRAME_HEADER
JOURNAL_NOW = 1_700_000_000_000_000  # Unix microseconds, the time at which key journals are compacted
JOURNALS = {
    "agreement": consensus_persisted.PersistedState,
    "repeats": lambda: PersistedKeys(lambda: JOURNAL_NOW),
    "copies": lambda: replica_persisted.PersistedReplica(lambda: JOURNAL_NOW),
    "recovery": recovery_record.PersistedRecovery,
}


def open_journal(directory, name, owner, kept):
    return write_ahead_log.WriteAheadLog(DataDirectory(str(directory)).acquire(), name, owner, kept).open()


def compacted_records(kept):
    return kept.compacted_records()


def close_journal(opened):
    opened.close()
    opened.directory.release()


def journal_head(owner):
    return frames.encode_file_header(owner)


def new_key_table():
    return KeyTable(60_000_000, 100, 1 << 20, 1_000)


def records_of_key_table(keys, claim):
    """Return the records of claims that are answered, unsure, released and still open."""
    records = []
    for number, fate in enumerate(("answered", "unsure", "dropped", "claimed")):
        request = KeyedRequest("tenant", b"key-%d" % number, bytes([number]) * 16, 9_000_000, claim)
        _, record = keys.claim(5_000, request)
        if fate == "answered":
            keys.complete(6_000, record, 200, b"\x00content\xff")
        elif fate == "unsure":
            keys.mark_unsure(7_000, record)
        elif fate == "dropped":
            keys.release(record)
        records += keys.take_changes()
    return records


def records_of_member(state, contents):
    """Return the records of a member that restores `state` and gets these messages from the member n1."""
    addresses = {name: member_state["address"] for name, member_state in state["members"].items()}
    configuration = MemberConfiguration(
        name="n0",
        members=addresses,
        may_bootstrap=False,
        settings={},
        lease_us=1_000_000,
        new_incarnation="life-0",
        new_fleet="fleet-0",
        seed=7,
    )
    member = Member(configuration, None, 1_000_000)
    steps = [inputs.Restore("fleet-1", "life-n0", state)]
    steps += [
        inputs.MessageReceived("n1", "life-n1", consensus_messages.decode(content)) for content in contents
    ]
    records = []
    for step in steps:
        for output in member.step(1_000_001, step):
            if isinstance(output, outputs.Persist):
                records += output.records
    return records


def records_of_replica(copies, messages):
    """Return the records of a replica that gets its placement, then each (name, id, message)."""
    node = Node(NodeOptions("n0", "holder-0", "run-1", 0, 1, 1_000_000), new_key_table(), 0)
    steps = [replication_inputs.PlacementChanged(copies)]
    steps += [
        replication_inputs.MessageReceived(name, id_, replication_messages.decode(content))
        for name, id_, content in messages
    ]
    records = replica_persisted.head_records("holder-0", 2, 1)
    for now, step in enumerate(steps, 10_000):
        for output in node.step(now, step):
            if isinstance(output, Persist):
                records += output.records
    return records


def three_workers():
    peers = [WorkerEndpoint(f"s-{number}") for number in range(3)]
    for number, peer in enumerate(peers):
        peer.address, peer.started_at = ("127.0.0.1", 8001 + number), 1_000_000 * number
    return [(0, peer, *entry(0)[2:]) for peer in peers]


def scheduler_with_learned_state():
    """Return a scheduler that ejected three workers for different reasons and has a launch in flight."""
    sched = scheduler(workers=0)
    sched.update_endpoints(0, "whole", three_workers())
    for job, outcome in enumerate(("unreachable", "lost", "error"), 1):
        arrive(sched, 1_000 * job, job)
        (sent,) = [decision for decision in pull(sched, 1_000 * job) if isinstance(decision, LaunchJob)]
        sched.launch_ended(1_000 * job + 500, job, 0, outcome, 500, True, [])
    arrive(sched, 900_000, 9)
    pull(sched, 900_000)
    return sched


def learned_of_decisions():
    """Return the learned state that a scheduler leaves to its successor process."""
    return scheduler_with_learned_state().learned_state()


def learned_again(learned):
    """Return the learned state of a scheduler that restored the given one."""
    sched = scheduler(workers=0)
    sched.update_endpoints(0, "whole", three_workers())
    sched.restore_learned(0, learned)
    return sched.learned_state()


def records_of_start():
    """Return a dispatcher's recovery records: its list, its launches in flight and its learned state."""
    discovery = SimpleNamespace(
        answered=True, generation=42, zones={"a": 0}, kinds={"m": 0}, unix_offset_us=1_699_999_000_000_000
    )
    router = SimpleNamespace(scheduler=scheduler_with_learned_state())
    saved = []
    loop = Rig().loop
    program = SimpleNamespace(
        discovery=discovery, router=router, configuration={"discovery": ("127.0.0.1", 9000), "peers": None}
    )
    newest_list = SimpleNamespace(generation=0, restricted={"s-9": 5})
    builder, clock = RecordBuilder(program, newest_list), RecoveryClock(loop, "boot-1")
    persistence = RecoveryPersistence(builder, clock, loop, None)
    persistence.writer = SimpleNamespace(append=lambda token, records: saved.extend(records))
    persistence.store(True)
    return saved


def state_of_new_fleet(settings, lease, members):
    return state_machine.initial_state(settings, lease, members)


def fleet_snapshot(state, fleet, by, at):
    """Return the fleet snapshot that an operator downloads."""
    return json_answer(snapshot_format.pack_snapshot(state, fleet, by, at)).text.encode()


def fleet_snapshot_again(raw):
    snapshot = snapshot_format.unpack_snapshot(raw)
    return fleet_snapshot(snapshot["state"], snapshot["fleet"], snapshot["by"], snapshot["at"])


def handover(directory):
    upgrade_state = UpgradeState(str(directory), ("127.0.0.1", 8080), lambda event, **fields: None)
    upgrade_state.take_seat()
    return upgrade_state


HANDOVER_STATE, HANDOVER_LEARNED = "mastledge-127.0.0.1-8080.state", "mastledge-127.0.0.1-8080.learned"


def write_handover_state(directory, shared):
    upgrade_state = handover(directory)
    try:
        assert upgrade_state.change(lambda content: (content.clear(), content.update(shared)), news=False)
    finally:
        upgrade_state.leave()


def read_handover_state(directory):
    upgrade_state = handover(directory)
    try:
        assert upgrade_state.refresh()
        return upgrade_state.shared
    finally:
        upgrade_state.leave()


def write_handover_learned(directory, learned):
    upgrade_state = handover(directory)
    try:
        upgrade_state.write_learned(learned)
    finally:
        upgrade_state.leave()


def read_handover_learned(directory):
    upgrade_state = handover(directory)
    try:
        return upgrade_state.read_learned()
    finally:
        upgrade_state.leave()


def notes(directory):
    return SharedLease(str(directory), lambda event, **fields: None)


def write_said(directory, content):
    notice = LeaseNotice(content["to"], content["index"], content["lease_until"], content["state"])
    assert notes(directory).publish(notice)


def read_said(directory):
    return asdict(notes(directory).notice())


def shared_fleet_state(state):
    """Return the part of the replicated state that is shared with the sibling process."""
    return lent_state(state)


def write_taken(directory, content):
    notes(directory).report(content["index"])


def read_taken(directory):
    report = notes(directory).standby_report()
    return {"from": report.process, "index": report.index}


def hand_off_job(directory, job):
    """Return the datagram that hands off a job {name, kind, until, headed, rest} to another process."""
    path = str(Path(directory) / "inlet")
    inlet, client, worker = descriptor_passing.open_receiver(path), *socket.socketpair()
    quiet = SimpleNamespace(trailing_data=(b"", False))
    ends = [
        SimpleNamespace(
            sock=sock,
            fd=sock.fileno(),
            http=quiet,
            at_chunk_end=True,
            owner=None,
            is_quiet=lambda: True,
            buffer=None,
        )
        for sock in (client, worker)
    ]
    ends[1].buffer = SimpleNamespace(peek=lambda: job["rest"])
    exchange = SimpleNamespace(
        name=job["name"], kind=job["kind"], until=job["until"], open=True, conn=ends[0]
    )
    launch = SimpleNamespace(ended=False, sent=True, conn=ends[1], headed=job["headed"])
    launched_job = SimpleNamespace(id=1, exchange=exchange, launches=[launch])
    router = SimpleNamespace(jobs={1: launched_job}, job_handed_off=lambda now, job, launch: None)
    loop = SimpleNamespace(unregister=lambda fd: None, now=lambda: 0, cancel=lambda task: None)
    handoff = connection_handoff.ConnectionHandoff(loop, None, None, lambda event, **fields: None)
    try:
        assert handoff.hand_off_by_datagram(router, path) == 1
        raw, socks = descriptor_passing.receive_sockets(inlet, 2)
        for sock in socks:
            sock.close()
        return raw
    finally:
        for sock in (inlet, client, worker):
            sock.close()


def offer_messages(job):
    """Return the messages, by label, that offer and release a job {name, kind, until, headed}."""
    offer = handed_off_job.JobOffer(job["name"], job["kind"], job["until"])
    release = handed_off_job.JobRelease(job["headed"])
    return {
        "offer": {"bytes": offer.encode()},
        "accepted": {"bytes": handed_off_job.ACCEPTED},
        "release": {"bytes": release.encode()},
    }


def read_offer_messages(offer, release):
    """Return the job {name, kind, until, headed} of an offer and its release."""
    return {
        **asdict(handed_off_job.JobOffer.decode(offer)),
        **asdict(handed_off_job.JobRelease.decode(release)),
    }


def take_over_job(raw):
    """Return the job that the receiving process gets, in the form that `hand_off_job` takes."""
    rig, jobs = Rig(), []
    listener = SimpleNamespace(serve_resumed=lambda conn, exchange: iter(()))
    takeover = connection_takeover.ConnectionTakeover(
        rig.loop, rig.budget, listener, scheduler().settings, rig.log
    )
    takeover.finish = lambda launch, exchange: jobs.append((launch, exchange)) or iter(())
    listening = socket.create_server((HERE, 0))
    ends = [socket.create_connection(listening.getsockname()) for _ in range(2)]
    try:
        takeover.take_over(raw, ends)
        (launch, exchange) = jobs[0]
        assert launch.name == exchange.name
        return {
            "name": exchange.name,
            "kind": exchange.kind,
            "until": exchange.until + connection_takeover.ANSWER_MARGIN_US,
            "headed": launch.headed,
            "rest": launch.conn.buffer.peek(),
        }
    finally:
        for sock in (listening, *ends):
            sock.close()


def links_of(rig, identity, address, on_frame):
    """Return the links of the dispatcher `identity`, for which all others have the address `address()`."""
    host = SimpleNamespace(
        link_identity=lambda: LinkIdentity(*identity),
        member_address=lambda other: address(),
        frame_received=on_frame,
    )
    return links.Links(rig.loop, host, 3, 7, rig.log)


def send_on_link(link_set, content):
    link_set.send("other", content)


def listen_on_links(link_set):
    """Start to listen, and return the address for other dispatchers."""
    link_set.start((HERE, 0))
    return link_set.listener.sock.getsockname()


def close_links(link_set):
    link_set.close()


def load_message(sent_at, loads, wants):
    return load_messages.encoded(sent_at, loads, wants)


def reencoded_load_message(raw):
    return load_messages.encoded(*load_messages.decoded(raw))


EVENT_LAYOUTS, EVENT_RECORD_BYTES = adapter_frames.EVENT_LAYOUTS, adapter_frames.EVENT_BYTES
ANSWER_HEAD, ACTION_BYTES = adapter_frames.REPLY_HEADER, adapter_frames.ACTION_BYTES
EVENT_HEAD = adapter_frames.EVENT_HEADER
ACTION_LAYOUTS = {
    1: adapter_frames.pack_launch,
    2: adapter_frames.pack_reject,
    3: adapter_frames.pack_kill,
    4: adapter_frames.pack_revoke,
    5: adapter_frames.pack_wake,
    8: adapter_frames.pack_message,
    10: adapter_frames.pack_text,
    11: adapter_frames.pack_follow,
}
answer_of = adapter_frames.reply


def event_frames(raw):
    """Return (clock in milliseconds, records as (code, fields...), tail) of each input frame."""
    stream, out = io.BytesIO(raw), []
    while (frame := adapter_frames.frame_from(stream)) is not None:
        records = [(code, *fields) for _, code, fields in frame.events()]
        out.append((frame.now / 1000, records, bytes(frame.body[frame.count * EVENT_RECORD_BYTES :])))
    return out
