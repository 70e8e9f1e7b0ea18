"""Framing of the bench wire: bytes to events, and actions to bytes.

A frame is a header, records of equal size, and a tail for data of variable size. All numbers are big-endian.
Times on the wire are floating point milliseconds; a decoded clock is in whole microseconds.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import BinaryIO

EVENT_HEADER = struct.Struct(">IId")  # number of records, total bytes, clock
REPLY_HEADER = struct.Struct(">II")  # number of records, total bytes
LIST_ENTRY = struct.Struct(">H6sBdHHf")
EVENT_BYTES, ACTION_BYTES = 56, 24
LATEST_CLOCK_MS = 1e15


class EventCode(IntEnum):
    """Codes of the incoming records."""

    ABANDONED = 1
    STARTED = 2
    ECHO = 3
    POOL = 4
    INBOX = 5
    TEARDOWN = 6
    POWER_ON = 7
    DUE = 8
    NOTE = 9
    NEW = 10
    MEMBERSHIP = 11
    END = 12


EVENT_LAYOUTS = {
    EventCode.NEW: struct.Struct(">IIdQHHfHdf"),
    EventCode.END: struct.Struct(">II6sdBIBHB4f"),
    EventCode.NOTE: struct.Struct(">IIBfB6s"),
    EventCode.DUE: struct.Struct(">IQ"),
    EventCode.POOL: struct.Struct(">HII"),
    EventCode.MEMBERSHIP: struct.Struct(">IBIH"),
    EventCode.POWER_ON: struct.Struct(">IQII"),
    EventCode.TEARDOWN: struct.Struct(">I"),
    EventCode.STARTED: struct.Struct(">IIB6sd"),
    EventCode.ABANDONED: struct.Struct(">II"),
    EventCode.ECHO: struct.Struct(">I6sdHB4f"),
    EventCode.INBOX: struct.Struct(">IIII"),
}
_CODE = struct.Struct(">H")

# Actions: each packs its code, the instance and its fields, padded to the size of an action.
LAUNCH, pack_launch = 1, struct.Struct(">HII6sd").pack
REJECT, pack_reject = 2, struct.Struct(">HIId6x").pack
KILL, pack_kill = 3, struct.Struct(">HII14x").pack
REVOKE, pack_revoke = 4, struct.Struct(">HIIB13x").pack
WAKE, pack_wake = 5, struct.Struct(">HIQd2x").pack
MESSAGE, pack_message = 8, struct.Struct(">HIHII8x").pack
FATAL, pack_text = 10, struct.Struct(">HIII10x").pack
FOLLOW, pack_follow = 11, struct.Struct(">HIB17x").pack
TO_ALL = 0xFFFF  # receiver number that means all other instances


class BadFrameError(ValueError):
    """The input is not a valid frame; the message says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame: its clock in whole microseconds, and its records and tail in `body`."""

    now: int
    body: memoryview
    count: int

    def events(self) -> Iterator[tuple[int, int, tuple]]:
        """Yield the position, code and fields of each record; raise BadFrameError for an unknown code."""
        unpack_code, layouts, body = _CODE.unpack_from, EVENT_LAYOUTS, self.body
        for position in range(self.count):
            start = position * EVENT_BYTES
            (code,) = unpack_code(body, start)
            layout = layouts.get(code)
            if layout is None:
                raise BadFrameError(f"record {position}: unknown code {code}")
            yield position, code, layout.unpack_from(body, start + _CODE.size)

    def tail_part(self, position: int, offset: int, size: int, name: str) -> memoryview:
        """Return a part of the tail; raise BadFrameError, which names the record, if it lies outside."""
        start = self.count * EVENT_BYTES + offset
        if start + size > len(self.body):
            raise BadFrameError(f"record {position}: {name} at {offset}, {size} bytes, lies outside the tail")
        return self.body[start : start + size]


def frame_from(stream: BinaryIO) -> Frame | None:
    """Return the next frame of a stream, None at its end; raise BadFrameError if the frame is invalid."""
    header = stream.read(EVENT_HEADER.size)
    if not header:
        return None
    if len(header) < EVENT_HEADER.size:
        raise BadFrameError(f"frame header: {len(header)} bytes of {EVENT_HEADER.size}")
    count, length, clock_ms = EVENT_HEADER.unpack(header)
    if length < EVENT_HEADER.size + count * EVENT_BYTES:
        raise BadFrameError(f"frame header: length {length} is too short for {count} records")
    if not 0 <= clock_ms < LATEST_CLOCK_MS:
        raise BadFrameError(f"frame header: clock {clock_ms} is out of range")
    body = stream.read(length - EVENT_HEADER.size)
    if len(body) < length - EVENT_HEADER.size:
        raise BadFrameError(f"frame body: {len(body)} bytes of {length - EVENT_HEADER.size}")
    return Frame(round(clock_ms * 1000), memoryview(body), count)


def list_entries(part: memoryview) -> list[tuple]:
    """Return the entries of an endpoint list; raise BadFrameError if the last one is truncated."""
    try:
        return list(LIST_ENTRY.iter_unpack(part))
    except struct.error as error:
        raise BadFrameError(f"list entries: {error}") from None


def reply(actions: list[bytes], tail: bytes) -> bytes:
    """Return the reply frame."""
    body = b"".join(actions)
    length = REPLY_HEADER.size + len(body) + len(tail)
    return REPLY_HEADER.pack(len(actions), length) + body + tail
