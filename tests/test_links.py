"""Tests of the links between dispatchers: frames, handshakes, limits, acknowledgements and backoff."""

import contextlib
import socket
from types import SimpleNamespace

import msgspec
import pytest
from helpers import HERE, Rig

from mastledge.peers import frames, link_context, link_listener, outgoing_link
from mastledge.peers.descriptor_budget import SPARE_DESCRIPTORS, DescriptorBudget
from mastledge.peers.errors import OversizedFrameError
from mastledge.peers.link_context import LinkIdentity, RateLimitedLog
from mastledge.peers.links import Links

OWN = LinkIdentity("fleet", "n0", "incarnation-0")
OTHER = frames.Hello(frames.HELLO_MARK, frames.PROTOCOL_VERSION, "fleet", "n1", "incarnation-1")


class Host:
    """A dispatcher with the identity `OWN`, one member address set by the test, and the received frames."""

    def __init__(self):
        self.identity, self.address, self.received = OWN, None, []

    def link_identity(self):
        return self.identity

    def member_address(self, name):
        return self.address

    def frame_received(self, sender, incarnation, content):
        if content == b"unreadable":
            raise ValueError("it can't be read")
        self.received.append((sender, incarnation, content))


class LinkHarness:
    """Links under test, with real sockets that play the other dispatcher."""

    def __init__(self):
        self.rig, self.host, self.sockets = Rig(), Host(), []
        self.links = Links(self.rig.loop, self.host, 3, 7, self.rig.log)

    def close(self):
        self.links.close()
        for sock in self.sockets:
            sock.close()

    def address(self):
        """Return the address at which the links listen."""
        if self.links.listener.sock is None:
            self.links.start((HERE, 0))
        return self.links.listener.sock.getsockname()

    def connect(self, *contents):
        """Return a connection to the links on which frames with these contents are sent."""
        peer_socket = socket.create_connection(self.address())
        self.sockets.append(peer_socket)
        peer_socket.sendall(b"".join(map(frames.encode_frame, contents)))
        return peer_socket

    def listen(self):
        """Return a listening socket at the address of the member n1."""
        peer_socket = socket.create_server((HERE, 0))
        peer_socket.setblocking(False)
        self.sockets.append(peer_socket)
        self.host.address = peer_socket.getsockname()
        return peer_socket

    def accepted(self, peer_socket):
        """Return the next connection that a listening socket accepts."""
        accepted_sockets = []

        def has_connection():
            with contextlib.suppress(BlockingIOError):
                accepted_sockets.append(peer_socket.accept()[0])
            return accepted_sockets

        assert self.rig.turn(has_connection)
        accepted_sockets[0].setblocking(False)
        self.sockets.append(accepted_sockets[0])
        return accepted_sockets[0]

    def read(self, peer_socket, count):
        """Return at least `count` bytes from a connection, or all until it is closed."""
        received, ended = bytearray(), []

        def is_complete():
            try:
                part = peer_socket.recv(65536)
            except BlockingIOError:
                part = None
            except ConnectionResetError:
                part = b""  # closed while bytes were unread
            if part is not None:
                received.extend(part)
                ended.extend([] if part else [True])
            return ended or len(received) >= count

        assert self.rig.turn(is_complete)
        return bytes(received)

    def logged(self, event):
        """Return the fields of each logged line of an event."""
        return [fields for name, fields in self.rig.logged if name == event]


@pytest.fixture
def harness():
    link_harness = LinkHarness()
    yield link_harness
    link_harness.close()


def hello(**changed_fields):
    """Return the encoded hello of n1, with some fields changed."""
    return frames.encode_hello(msgspec.structs.replace(OTHER, **changed_fields))


def hello_bytes(identity):
    """Return the frame of the hello that a dispatcher of this identity sends."""
    message = frames.Hello(frames.HELLO_MARK, 1, identity.fleet, identity.name, identity.incarnation)
    return frames.encode_frame(frames.encode_hello(message))


def test_take_frame_returns_complete_frames_in_order():
    encoded = frames.encode_frame(b"one") + frames.encode_frame(b"") + frames.encode_frame(b"three")
    for cut in range(len(encoded)):
        received, taken = bytearray(), []
        for part in (encoded[:cut], encoded[cut:]):
            received += part
            while (content := frames.take_frame(received, 5)) is not None:
                taken.append(content)
        assert taken == [b"one", b"", b"three"]
        assert not received


def test_oversized_frame_is_refused_from_its_length_alone():
    with pytest.raises(OversizedFrameError, match="a frame of 6 bytes exceeds the limit of 5 bytes"):
        frames.take_frame(bytearray((6).to_bytes(4, "big")), 5)


def test_descriptor_budget_counts_sockets_and_never_shrinks():
    budget = DescriptorBudget(1)
    assert [budget.acquire("peers") for _ in range(SPARE_DESCRIPTORS + 3)] == [True] * (
        SPARE_DESCRIPTORS + 2
    ) + [False]
    budget.release("peers")
    assert budget.acquire("peers")
    budget.grow(2)
    assert budget.acquire("peers")
    budget.grow(1)
    assert budget.acquire("peers")
    assert not budget.acquire("peers")


def test_rate_limited_log_writes_an_event_once_a_minute_with_the_suppressed_count():
    clock, logged_lines = SimpleNamespace(now_us=5), []
    loop = SimpleNamespace(now=lambda: clock.now_us)
    log = RateLimitedLog(loop, lambda event, **fields: logged_lines.append((event, fields)))
    for elapsed_us in (0, 1, link_context.LOG_INTERVAL_US - 1):
        clock.now_us = 5 + elapsed_us
        log.write("a", n=elapsed_us)
    log.write("b")
    clock.now_us = 5 + link_context.LOG_INTERVAL_US
    log.write("a", n=9)
    assert logged_lines == [("a", {"n": 0}), ("b", {}), ("a", {"n": 9, "more": 2})]


def test_received_frames_reach_the_host_and_are_acknowledged(harness):
    peer_socket = harness.connect(hello(), b"one", b"two")
    assert harness.rig.turn(lambda: len(harness.host.received) == 2)
    assert harness.host.received == [("n1", "incarnation-1", b"one"), ("n1", "incarnation-1", b"two")]
    peer_socket.setblocking(False)
    assert harness.read(peer_socket, 2) == frames.ACKNOWLEDGEMENT * 2
    assert harness.links.counters.frames_received == 2
    assert harness.links.counters.bytes_received == 6


@pytest.mark.parametrize(
    ("contents", "reason"),
    [
        ([hello(version=2)], "the hello has mark 'mastledge peer', protocol version 2"),
        ([hello(mark="something")], "the hello has mark 'something', protocol version 1"),
        ([hello(fleet="theirs")], "from another fleet: 'theirs'"),
        ([hello(name="n0")], "the hello has the name n0 of this dispatcher"),
        ([b"\xc1"], "MessagePack data is malformed"),
        ([b"x" * (frames.MAX_HELLO_BYTES + 1)], f"a frame of {frames.MAX_HELLO_BYTES + 1} bytes"),
        ([hello(), b"unreadable"], "it can't be read"),
    ],
)
def test_link_with_invalid_hello_or_frame_is_closed_and_logged(contents, reason, harness):
    peer_socket = harness.connect(*contents)
    assert harness.rig.turn(lambda: harness.logged("peer_refused"))
    (fields,) = harness.logged("peer_refused")
    assert reason in fields["why"]
    peer_socket.setblocking(False)
    assert harness.read(peer_socket, 1) == b""
    assert harness.host.received == []
    assert harness.links.budget.used == 0


@pytest.mark.parametrize("fleet", ["", "fleet"])
def test_frames_are_accepted_if_either_side_has_no_fleet(fleet, harness):
    harness.host.identity = LinkIdentity(fleet, "n0", "incarnation-0")
    harness.connect(hello(fleet="" if fleet else "any"), b"one")
    assert harness.rig.turn(lambda: harness.host.received)


def test_incomplete_hello_is_refused_at_its_timeout(harness, monkeypatch):
    monkeypatch.setattr(link_listener, "HELLO_TIMEOUT_US", 20_000)
    harness.connect()
    assert harness.rig.turn(lambda: harness.logged("peer_refused"))
    assert harness.logged("peer_refused") == [{"why": "a frame was not complete before its timeout"}]


def test_unidentified_connection_is_closed_for_a_new_one_at_the_limit(harness):
    harness.links.budget.limit = 2
    identified = harness.connect(hello(), b"one")
    assert harness.rig.turn(lambda: harness.host.received)
    unidentified = harness.connect()
    assert harness.rig.turn(lambda: harness.links.listener.unidentified)
    harness.connect(hello(name="n2"), b"two")
    assert harness.rig.turn(lambda: len(harness.host.received) == 2)
    unidentified.setblocking(False)
    assert harness.read(unidentified, 1) == b""
    refused = harness.connect()
    refused.setblocking(False)
    assert harness.read(refused, 1) == b""
    assert harness.logged("peer_connection_limit") == [{"used": 2}]
    identified.sendall(frames.encode_frame(b"three"))
    assert harness.rig.turn(lambda: len(harness.host.received) == 3)


def test_first_frame_follows_a_hello_and_later_frames_use_the_same_link(harness):
    peer_socket = harness.listen()
    harness.links.send("n1", b"one")
    connection = harness.accepted(peer_socket)
    expected = hello_bytes(OWN) + frames.encode_frame(b"one")
    assert harness.read(connection, len(expected)) == expected
    connection.sendall(frames.ACKNOWLEDGEMENT)
    harness.links.send("n1", b"two")
    assert harness.read(connection, 1) == frames.encode_frame(b"two")
    counters = harness.links.counters
    assert (counters.frames_sent, counters.frames_dropped) == (2, 0)
    assert counters.bytes_sent == 2 * len(frames.encode_frame(b"one"))


def test_changed_identity_opens_a_new_link(harness):
    peer_socket = harness.listen()
    harness.links.send("n1", b"one")
    connection = harness.accepted(peer_socket)
    harness.read(connection, len(hello_bytes(OWN)) + 7)
    harness.host.identity = LinkIdentity("fleet", "n0", "incarnation-1")
    harness.links.send("n1", b"two")
    connection.sendall(frames.ACKNOWLEDGEMENT)
    assert harness.rig.turn(lambda: not harness.links.outgoing["n1"].is_up)
    harness.links.send("n1", b"three")
    new_connection = harness.accepted(peer_socket)
    expected = hello_bytes(harness.host.identity) + frames.encode_frame(b"three")
    assert harness.read(new_connection, len(expected)).startswith(hello_bytes(harness.host.identity))


def test_link_without_acknowledgements_is_reopened(harness, monkeypatch):
    monkeypatch.setattr(outgoing_link, "ACKNOWLEDGEMENT_TIMEOUT_US", 50_000)
    peer_socket = harness.listen()
    harness.links.send("n1", b"one")
    connection = harness.accepted(peer_socket)
    harness.read(connection, len(hello_bytes(OWN)) + 7)
    assert harness.rig.turn(lambda: harness.logged("peer_lost_n1"))
    assert harness.logged("peer_lost_n1") == [{"why": "timed out"}]
    harness.links.send("n1", b"two")
    new_connection = harness.accepted(peer_socket)
    expected = hello_bytes(OWN) + frames.encode_frame(b"two")
    assert harness.read(new_connection, len(expected)) == expected


def test_full_queue_is_dropped_and_counted(harness):
    harness.listen()
    for _ in range(outgoing_link.MAX_QUEUED_FRAMES + 1):
        harness.links.send("n1", b"x")
    assert harness.links.counters.frames_dropped == outgoing_link.MAX_QUEUED_FRAMES
    assert len(harness.links.outgoing["n1"].queue) == 1


def test_frames_to_an_unknown_member_are_discarded(harness):
    harness.links.send("n1", b"one")
    assert harness.rig.turn(lambda: harness.links.outgoing["n1"].task.ended)
    assert not harness.links.outgoing["n1"].queue
    assert harness.links.counters.frames_sent == 0


def test_backoff_grows_to_its_maximum(harness):
    link = outgoing_link.OutgoingLink(harness.links.context, "n1")
    for failures in range(1, 20):
        link.failures = failures
        maximum = min(outgoing_link.FIRST_BACKOFF_US << failures, outgoing_link.MAX_BACKOFF_US)
        assert maximum // 2 <= link._backoff_us() <= maximum


def test_closed_links_close_all_connections(harness):
    peer_socket = harness.listen()
    harness.links.send("n1", b"one")
    connection = harness.accepted(peer_socket)
    harness.read(connection, len(hello_bytes(OWN)) + 7)
    incoming = harness.connect(hello(), b"two")
    assert harness.rig.turn(lambda: harness.host.received)
    harness.links.close()
    incoming.setblocking(False)
    assert harness.read(incoming, 1) == b""
    assert harness.read(connection, 1) == b""
    assert harness.links.budget.used == 0
    assert harness.rig.errors == []
