"""Framing of the bench's wire: bytes to events, decisions to bytes."""

from struct import Struct
from struct import error as StructError

HEADER = Struct(">IId")
REPLY = Struct(">II")
ENTRY = Struct(">H6sBdHHf")
RECORD, ACTION = 56, 24

NEW, END, NOTE, DUE, POOL, MEMBERSHIP, POWER_ON, TEARDOWN, STARTED, ABANDONED, ECHO, INBOX = (
    10,
    12,
    9,
    8,
    4,
    11,
    7,
    6,
    2,
    1,
    3,
    5,
)
EVENTS = {
    NEW: Struct(">IIdQHHfHdf"),
    END: Struct(">II6sdBIBHB4f"),
    NOTE: Struct(">IIBfB6s"),
    DUE: Struct(">IQ"),
    POOL: Struct(">HII"),
    MEMBERSHIP: Struct(">IBIH"),
    POWER_ON: Struct(">IQII"),
    TEARDOWN: Struct(">I"),
    STARTED: Struct(">IIB6sd"),
    ABANDONED: Struct(">II"),
    ECHO: Struct(">I6sdHB4f"),
    INBOX: Struct(">IIII"),
}
CODE = Struct(">H")
PASS_ON = Struct(">HII6sd").pack
BOUNCE = Struct(">HIId6x").pack
GIVE_UP = Struct(">HII14x").pack
REVOKE = Struct(">HIIB13x").pack
NOTIFY_ME = Struct(">HIQd2x").pack
TEXT = Struct(">HIII10x").pack
MEMO_TO, ALL = Struct(">HIHII8x").pack, 0xFFFF
TRACK = Struct(">HIB17x").pack
FATAL = 10


class BadFrame(ValueError):
    """The input is no frame of this wire; the text says what is wrong and where."""


def frame_from(stream):
    """The next frame's clock in whole microseconds, its records and its tail; None at the end of input."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise BadFrame(f"frame header: {len(head)} bytes of {HEADER.size}")
    count, length, clock = HEADER.unpack(head)
    if length < HEADER.size + count * RECORD:
        raise BadFrame(f"frame header: length {length} is too short for {count} records")
    if not 0 <= clock < 1e15:
        raise BadFrame(f"frame header: clock {clock} is no time")
    body = stream.read(length - HEADER.size)
    if len(body) < length - HEADER.size:
        raise BadFrame(f"frame body: {len(body)} bytes of {length - HEADER.size}")
    return round(clock * 1000), memoryview(body), count


def tail_part(body, count, at, offset, size, what):
    start = count * RECORD + offset
    if start + size > len(body):
        raise BadFrame(f"record {at}: {what} at {offset}, {size} bytes, lies outside the tail")
    return body[start : start + size]


def events(body, count):
    """Each record as its number, its code and its fields."""
    code_at, layouts = CODE.unpack_from, EVENTS
    for at in range(count):
        start = at * RECORD
        (code,) = code_at(body, start)
        layout = layouts.get(code)
        if layout is None:
            raise BadFrame(f"record {at}: unknown code {code}")
        yield at, code, layout.unpack_from(body, start + 2)


def entries(part):
    try:
        return list(ENTRY.iter_unpack(part))
    except StructError as error:
        raise BadFrame(f"list entries: {error}") from None


def reply(records, tail):
    body = b"".join(records)
    return REPLY.pack(len(records), REPLY.size + len(body) + len(tail)) + body + tail
