"""Frames in, frames or a plain message out."""

import io

import pytest

from mastledge.adapter import frames as wire
from mastledge.adapter.__main__ import Host
from mastledge.program.settings import SettingError, parse_pairs, parse_settings


def frame(records=b"", tail=b"", count=None, length=None):
    n = len(records) // 56 if count is None else count
    return wire.HEADER.pack(n, length or 16 + len(records) + len(tail), 12_500.0) + records + tail


def record(code, *fields):
    return (code.to_bytes(2, "big") + wire.EVENTS[code].pack(*fields)).ljust(56, b"\0")


def test_an_empty_batch_gets_an_empty_reply():
    assert Host().turn(*wire.frame_from(io.BytesIO(frame()))) == bytes.fromhex("0000000000000008")


@pytest.mark.parametrize(
    ("raw", "says"),
    [
        (frame()[:9], "frame header"),
        (frame(bytes(56))[:-3], "frame body"),
        (frame(bytes(56), count=2), "too short for 2"),
        (frame(bytes(56)), "record 0: unknown code 0"),
        (frame(record(wire.POOL, 0, 0, 1)), "record 0: list entries"),
        (frame(record(wire.POWER_ON, 1, 1, 4, 9)), "record 0: settings"),
    ],
)
def test_a_bad_frame_is_named(raw, says):
    with pytest.raises(wire.BadFrame, match=says):
        Host().turn(*wire.frame_from(io.BytesIO(raw)))


@pytest.mark.parametrize(("text", "key"), [("balancers=2", "me"), ("balancers=x", "balancers")])
def test_a_missing_or_unreadable_setting_is_named(text, key):
    with pytest.raises(SettingError, match=f"setting {key} "):
        parse_settings(parse_pairs(text))
