"""Frames: the checksummed units of a write-ahead log file; docs/formats.md describes the format.

A frame holds the records that were written together, so either all of them are in the file or none.
"""

import struct
import zlib
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

FILE_MAGIC = b"mastledge journal\n"
FORMAT_VERSION = 1
FRAME_MAGIC = b"\xa5frm"
FRAME_HEADER = struct.Struct(">4sII")  # magic, length of the content, checksum of length and content
CONTENT_LENGTH = struct.Struct(">I")
MAX_CONTENT_BYTES = 64 << 20  # a frame with a longer length is damaged
encode_content = msgspec.msgpack.Encoder().encode
decode_content = msgspec.msgpack.decode


def frame_checksum(content: bytes) -> int:
    """Return the CRC-32 of the length, as encoded in the frame, and the content."""
    return zlib.crc32(content, zlib.crc32(CONTENT_LENGTH.pack(len(content))))


def encode_frame(records: Sequence[Any] | bytes) -> bytes:
    """Return a frame with these records; raise `TypeError` if MessagePack cannot encode them."""
    content = encode_content(records)
    return FRAME_HEADER.pack(FRAME_MAGIC, len(content), frame_checksum(content)) + content


def whole_frame(data: bytes, offset: int) -> bytes | None:
    """Return the content of the frame at this offset, or None if there is no whole frame."""
    content_offset = offset + FRAME_HEADER.size
    if len(data) < content_offset:
        return None
    magic, length, checksum = FRAME_HEADER.unpack_from(data, offset)
    if magic != FRAME_MAGIC or length > MAX_CONTENT_BYTES or content_offset + length > len(data):
        return None
    content = data[content_offset : content_offset + length]
    return content if frame_checksum(content) == checksum else None


def has_whole_frame_after(data: bytes, offset: int) -> bool:
    """Return whether a whole frame starts after this offset, so that the bytes at it are not a torn end."""
    while (offset := data.find(FRAME_MAGIC, offset + 1)) >= 0:
        if whole_frame(data, offset) is not None:
            return True
    return False


def encode_file_header(owner: Mapping[str, str]) -> bytes:
    """Return the start of a file: the magic line, then a frame with the format and the owner."""
    # The map is encoded twice: the content of this frame is one binary value with the map in it.
    return FILE_MAGIC + encode_frame(encode_content({"format": FORMAT_VERSION, **owner}))


def decode_file_header(content: bytes) -> dict[str, Any]:
    """Return the map in the content of the first frame."""
    return decode_content(decode_content(content))
