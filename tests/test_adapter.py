"""The adapter: replies to valid frames, error messages for invalid ones."""

import io

import pytest

from mastledge.adapter.frames import (
    EVENT_BYTES,
    EVENT_HEADER,
    EVENT_LAYOUTS,
    BadFrameError,
    EventCode,
    frame_from,
)
from mastledge.adapter.host import Host
from mastledge.program.settings import SettingError, parse_pairs, parse_settings


def frame(records=b"", tail=b"", count=None, length=None):
    record_count = len(records) // EVENT_BYTES if count is None else count
    return EVENT_HEADER.pack(record_count, length or 16 + len(records) + len(tail), 12_500.0) + records + tail


def record(code, *fields):
    return (code.to_bytes(2, "big") + EVENT_LAYOUTS[code].pack(*fields)).ljust(EVENT_BYTES, b"\0")


def reply_to(raw):
    return Host().turn(frame_from(io.BytesIO(raw)))


def test_empty_frame_gets_empty_reply():
    assert reply_to(frame()) == bytes.fromhex("0000000000000008")


@pytest.mark.parametrize(
    ("raw", "says"),
    [
        (frame()[:9], "frame header"),
        (frame(bytes(56))[:-3], "frame body"),
        (frame(bytes(56), count=2), "too short for 2"),
        (frame(bytes(56)), "record 0: unknown code 0"),
        (frame(record(EventCode.POOL, 0, 0, 1)), "record 0: list entries"),
        (frame(record(EventCode.POWER_ON, 1, 1, 4, 9)), "record 0: settings"),
    ],
)
def test_bad_frame_is_described_in_error(raw, says):
    with pytest.raises(BadFrameError, match=says):
        reply_to(raw)


@pytest.mark.parametrize(("text", "key"), [("balancers=2", "me"), ("balancers=x", "balancers")])
def test_missing_or_invalid_setting_is_named_in_error(text, key):
    with pytest.raises(SettingError, match=f"setting {key} "):
        parse_settings(parse_pairs(text))
