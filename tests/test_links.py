"""Links between dispatchers: frames, who is refused and why, limits, and what becomes of frames."""

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
    """A dispatcher that is `OWN`, knows no address until the test gives one, and keeps what it receives."""

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


class Ends:
    """Links that are looked at from the other side of real connections."""

    def __init__(self):
        self.rig, self.host, self.sockets = Rig(), Host(), []
        self.links = Links(self.rig.loop, self.host, 3, 7, self.rig.log)

    def close(self):
        self.links.close()
        for sock in self.sockets:
            sock.close()

    def address(self):
        """Where these links listen."""
        if self.links.listener.sock is None:
            self.links.start((HERE, 0))
        return self.links.listener.sock.getsockname()

    def connect(self, *contents):
        """A connection to these links, with frames on it."""
        theirs = socket.create_connection(self.address())
        self.sockets.append(theirs)
        theirs.sendall(b"".join(map(frames.encode_frame, contents)))
        return theirs

    def listen(self):
        """Has the member n1 listen; gives its socket."""
        theirs = socket.create_server((HERE, 0))
        theirs.setblocking(False)
        self.sockets.append(theirs)
        self.host.address = theirs.getsockname()
        return theirs

    def accepted(self, theirs):
        """The next connection at that socket."""
        got = []

        def came():
            with contextlib.suppress(BlockingIOError):
                got.append(theirs.accept()[0])
            return got

        assert self.rig.turn(came)
        got[0].setblocking(False)
        self.sockets.append(got[0])
        return got[0]

    def read(self, theirs, count):
        """So many bytes from that connection, or all that come until it is closed."""
        out, ended = bytearray(), []

        def came():
            try:
                part = theirs.recv(65536)
            except BlockingIOError:
                part = None
            except ConnectionResetError:
                part = b""  # it was closed with bytes that nobody had read
            if part is not None:
                out.extend(part)
                ended.extend([] if part else [True])
            return ended or len(out) >= count

        assert self.rig.turn(came)
        return bytes(out)

    def logged(self, event):
        return [fields for name, fields in self.rig.logged if name == event]


@pytest.fixture
def ends():
    made = Ends()
    yield made
    made.close()


def hello(**changed):
    return frames.encode_hello(msgspec.structs.replace(OTHER, **changed))


def hello_bytes(identity):
    told = frames.Hello(frames.HELLO_MARK, 1, identity.fleet, identity.name, identity.incarnation)
    return frames.encode_frame(frames.encode_hello(told))


def test_frames_are_taken_one_after_the_other_and_only_whole():
    raw = frames.encode_frame(b"one") + frames.encode_frame(b"") + frames.encode_frame(b"three")
    for cut in range(len(raw)):
        received, taken = bytearray(), []
        for part in (raw[:cut], raw[cut:]):
            received += part
            while (content := frames.take_frame(received, 5)) is not None:
                taken.append(content)
        assert taken == [b"one", b"", b"three"]
        assert not received


def test_a_frame_that_is_too_long_is_refused_before_it_is_there():
    with pytest.raises(OversizedFrameError, match="a frame of 6 bytes exceeds the limit of 5 bytes"):
        frames.take_frame(bytearray((6).to_bytes(4, "big")), 5)


def test_descriptors_of_links_are_counted_and_their_room_only_grows():
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


def test_the_same_event_is_one_line_a_minute_and_tells_how_many_there_were():
    clock, lines = SimpleNamespace(at=5), []
    loop = SimpleNamespace(now=lambda: clock.at)
    log = RateLimitedLog(loop, lambda event, **fields: lines.append((event, fields)))
    for at in (0, 1, link_context.LOG_INTERVAL_US - 1):
        clock.at = 5 + at
        log.write("a", n=at)
    log.write("b")
    clock.at = 5 + link_context.LOG_INTERVAL_US
    log.write("a", n=9)
    assert lines == [("a", {"n": 0}), ("b", {}), ("a", {"n": 9, "more": 2})]


def test_frames_of_another_dispatcher_are_handed_on_and_acknowledged(ends):
    theirs = ends.connect(hello(), b"one", b"two")
    assert ends.rig.turn(lambda: len(ends.host.received) == 2)
    assert ends.host.received == [("n1", "incarnation-1", b"one"), ("n1", "incarnation-1", b"two")]
    theirs.setblocking(False)
    assert ends.read(theirs, 2) == frames.ACKNOWLEDGEMENT * 2
    assert ends.links.counters.frames_received == 2
    assert ends.links.counters.bytes_received == 6


@pytest.mark.parametrize(
    ("contents", "reason"),
    [
        ([hello(version=2)], "another mark or protocol version: 2"),
        ([hello(mark="something")], "another mark or protocol version: 1"),
        ([hello(fleet="theirs")], "from another fleet: 'theirs'"),
        ([hello(name="n0")], "the hello has the name n0 of this dispatcher"),
        ([b"\xc1"], "MessagePack data is malformed"),
        ([b"x" * (frames.MAX_HELLO_BYTES + 1)], f"a frame of {frames.MAX_HELLO_BYTES + 1} bytes"),
        ([hello(), b"unreadable"], "it can't be read"),
    ],
)
def test_who_does_not_keep_to_the_format_is_closed_and_named_in_the_log(contents, reason, ends):
    theirs = ends.connect(*contents)
    assert ends.rig.turn(lambda: ends.logged("peer_refused"))
    (fields,) = ends.logged("peer_refused")
    assert reason in fields["why"]
    theirs.setblocking(False)
    assert ends.read(theirs, 1) == b""
    assert ends.host.received == []
    assert ends.links.budget.used == 0


@pytest.mark.parametrize("fleet", ["", "fleet"])
def test_a_dispatcher_without_a_fleet_is_heard_by_all(fleet, ends):
    ends.host.identity = LinkIdentity(fleet, "n0", "incarnation-0")
    ends.connect(hello(fleet="" if fleet else "any"), b"one")
    assert ends.rig.turn(lambda: ends.host.received)


def test_a_hello_that_is_not_whole_in_time_is_refused(ends, monkeypatch):
    monkeypatch.setattr(link_listener, "HELLO_TIMEOUT_US", 20_000)
    ends.connect()
    assert ends.rig.turn(lambda: ends.logged("peer_refused"))
    assert ends.logged("peer_refused") == [{"why": "a frame was not complete before its timeout"}]


def test_who_has_not_said_who_it_is_goes_for_the_next_and_others_stay(ends):
    ends.links.budget.limit = 2
    known = ends.connect(hello(), b"one")
    assert ends.rig.turn(lambda: ends.host.received)
    stranger = ends.connect()
    assert ends.rig.turn(lambda: ends.links.listener.unidentified)
    ends.connect(hello(name="n2"), b"two")
    assert ends.rig.turn(lambda: len(ends.host.received) == 2)
    stranger.setblocking(False)
    assert ends.read(stranger, 1) == b""
    refused = ends.connect()
    refused.setblocking(False)
    assert ends.read(refused, 1) == b""
    assert ends.logged("peer_connection_limit") == [{"used": 2}]
    known.sendall(frames.encode_frame(b"three"))
    assert ends.rig.turn(lambda: len(ends.host.received) == 3)


def test_a_frame_goes_behind_a_hello_and_more_go_over_the_same_link(ends):
    theirs = ends.listen()
    ends.links.send("n1", b"one")
    conn = ends.accepted(theirs)
    expected = hello_bytes(OWN) + frames.encode_frame(b"one")
    assert ends.read(conn, len(expected)) == expected
    conn.sendall(frames.ACKNOWLEDGEMENT)
    ends.links.send("n1", b"two")
    assert ends.read(conn, 1) == frames.encode_frame(b"two")
    counters = ends.links.counters
    assert (counters.frames_sent, counters.frames_dropped) == (2, 0)
    assert counters.bytes_sent == 2 * len(frames.encode_frame(b"one"))


def test_another_identity_is_told_on_another_link(ends):
    theirs = ends.listen()
    ends.links.send("n1", b"one")
    conn = ends.accepted(theirs)
    ends.read(conn, len(hello_bytes(OWN)) + 7)
    ends.host.identity = LinkIdentity("fleet", "n0", "incarnation-1")
    ends.links.send("n1", b"two")
    conn.sendall(frames.ACKNOWLEDGEMENT)
    assert ends.rig.turn(lambda: not ends.links.outgoing["n1"].is_up)
    ends.links.send("n1", b"three")
    again = ends.accepted(theirs)
    expected = hello_bytes(ends.host.identity) + frames.encode_frame(b"three")
    assert ends.read(again, len(expected)).startswith(hello_bytes(ends.host.identity))


def test_a_link_whose_frames_are_not_acknowledged_is_opened_anew(ends, monkeypatch):
    monkeypatch.setattr(outgoing_link, "ACKNOWLEDGEMENT_TIMEOUT_US", 50_000)
    theirs = ends.listen()
    ends.links.send("n1", b"one")
    conn = ends.accepted(theirs)
    ends.read(conn, len(hello_bytes(OWN)) + 7)
    assert ends.rig.turn(lambda: ends.logged("peer_lost_n1"))
    assert ends.logged("peer_lost_n1") == [{"why": "timed out"}]
    ends.links.send("n1", b"two")
    again = ends.accepted(theirs)
    expected = hello_bytes(OWN) + frames.encode_frame(b"two")
    assert ends.read(again, len(expected)) == expected


def test_a_queue_that_is_full_is_dropped_and_counted(ends):
    ends.listen()
    for _ in range(outgoing_link.MAX_QUEUED_FRAMES + 1):
        ends.links.send("n1", b"x")
    assert ends.links.counters.frames_dropped == outgoing_link.MAX_QUEUED_FRAMES
    assert len(ends.links.outgoing["n1"].queue) == 1


def test_frames_to_who_is_no_member_are_forgotten(ends):
    ends.links.send("n1", b"one")
    assert ends.rig.turn(lambda: ends.links.outgoing["n1"].task.ended)
    assert not ends.links.outgoing["n1"].queue
    assert ends.links.counters.frames_sent == 0


def test_a_backoff_grows_to_its_maximum_and_no_further(ends):
    link = outgoing_link.OutgoingLink(ends.links.context, "n1")
    for failures in range(1, 20):
        link.failures = failures
        most = min(outgoing_link.FIRST_BACKOFF_US << failures, outgoing_link.MAX_BACKOFF_US)
        assert most // 2 <= link._backoff_us() <= most


def test_closed_links_say_and_hear_nothing(ends):
    theirs = ends.listen()
    ends.links.send("n1", b"one")
    conn = ends.accepted(theirs)
    ends.read(conn, len(hello_bytes(OWN)) + 7)
    heard = ends.connect(hello(), b"two")
    assert ends.rig.turn(lambda: ends.host.received)
    ends.links.close()
    heard.setblocking(False)
    assert ends.read(heard, 1) == b""
    assert ends.read(conn, 1) == b""
    assert ends.links.budget.used == 0
    assert ends.rig.errors == []
