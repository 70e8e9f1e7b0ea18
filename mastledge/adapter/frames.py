"""Framing of the bench's wire: bytes to events, and actions to bytes.

A frame is a header, records of equal size, and a tail for what has no fixed size. All numbers are big-endian;
times on the wire are milliseconds as floating point numbers, and whole microseconds in what is given here.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import BinaryIO

EVENT_HEADER = struct.Struct(">IId")  # records, bytes in all, clock
REPLY_HEADER = struct.Struct(">II")  # records, bytes in all
LIST_ENTRY = struct.Struct(">H6sBdHHf")
EVENT_BYTES, ACTION_BYTES = 56, 24
LATEST_CLOCK_MS = 1e15


class EventCode(IntEnum):
    """What a record that comes in tells."""

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

# Actions: each packs its code, the instance, and what it says, to the size of an action.
LAUNCH, pack_launch = 1, struct.Struct(">HII6sd").pack
REJECT, pack_reject = 2, struct.Struct(">HIId6x").pack
KILL, pack_kill = 3, struct.Struct(">HII14x").pack
REVOKE, pack_revoke = 4, struct.Struct(">HIIB13x").pack
WAKE, pack_wake = 5, struct.Struct(">HIQd2x").pack
MESSAGE, pack_message = 8, struct.Struct(">HIHII8x").pack
FATAL, pack_text = 10, struct.Struct(">HIII10x").pack
FOLLOW, pack_follow = 11, struct.Struct(">HIB17x").pack
TO_ALL = 0xFFFF  # the receiver of a message to all other instances


class BadFrameError(ValueError):
    """The input is no frame of this wire; the text says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame: its clock in whole microseconds, its records and its tail."""

    now: int
    body: memoryview
    count: int

    def events(self) -> Iterator[tuple[int, int, tuple]]:
        """Each record as its position, its code and its fields; BadFrameError for an unknown code."""
        code_at, layouts, body = _CODE.unpack_from, EVENT_LAYOUTS, self.body
        for position in range(self.count):
            start = position * EVENT_BYTES
            (code,) = code_at(body, start)
            layout = layouts.get(code)
            if layout is None:
                raise BadFrameError(f"record {position}: unknown code {code}")
            yield position, code, layout.unpack_from(body, start + _CODE.size)

    def tail_part(self, position: int, offset: int, size: int, what: str) -> memoryview:
        """That part of the tail; BadFrameError, which names the record, where it lies outside."""
        start = self.count * EVENT_BYTES + offset
        if start + size > len(self.body):
            raise BadFrameError(f"record {position}: {what} at {offset}, {size} bytes, lies outside the tail")
        return self.body[start : start + size]


def frame_from(stream: BinaryIO) -> Frame | None:
    """The next frame of a stream; None at the end of input, BadFrameError for what is none."""
    head = stream.read(EVENT_HEADER.size)
    if not head:
        return None
    if len(head) < EVENT_HEADER.size:
        raise BadFrameError(f"frame header: {len(head)} bytes of {EVENT_HEADER.size}")
    count, length, clock_ms = EVENT_HEADER.unpack(head)
    if length < EVENT_HEADER.size + count * EVENT_BYTES:
        raise BadFrameError(f"frame header: length {length} is too short for {count} records")
    if not 0 <= clock_ms < LATEST_CLOCK_MS:
        raise BadFrameError(f"frame header: clock {clock_ms} is no time")
    body = stream.read(length - EVENT_HEADER.size)
    if len(body) < length - EVENT_HEADER.size:
        raise BadFrameError(f"frame body: {len(body)} bytes of {length - EVENT_HEADER.size}")
    return Frame(round(clock_ms * 1000), memoryview(body), count)


def list_entries(part: memoryview) -> list[tuple]:
    """The entries of an endpoint list; BadFrameError where the last one is cut short."""
    try:
        return list(LIST_ENTRY.iter_unpack(part))
    except struct.error as error:
        raise BadFrameError(f"list entries: {error}") from None


def reply(actions: list[bytes], tail: bytes) -> bytes:
    """The frame that answers one frame."""
    body = b"".join(actions)
    length = REPLY_HEADER.size + len(body) + len(tail)
    return REPLY_HEADER.pack(len(actions), length) + body + tail
