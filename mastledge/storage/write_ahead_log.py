"""An append-only file of records; docs/formats.md tells its form.

What is handed in at once is one frame with one checksum: it is there as a whole or not at all. The next
frame is written only after the one before it is synced, so a frame that a crash cut is the last one.
"""

import os
import struct
import zlib
from itertools import chain

import msgspec

from mastledge.storage.data_directory import DataDirectoryError

MAGIC, FORMAT = b"mastledge journal\n", 1
MARK = b"\xa5frm"
HEAD = struct.Struct(">4sII")  # mark, length, checksum of length and content
MOST = 64 << 20  # of one frame; a longer length is damage
PART = 512  # records of one frame where a file is written anew
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.decode


class DamagedLogError(DataDirectoryError):
    """A file that can't be read to its end, and not because a crash cut it."""


def frame(records):
    content = encode(records)
    length = struct.pack(">I", len(content))
    return HEAD.pack(MARK, len(content), zlib.crc32(content, zlib.crc32(length))) + content


def whole_frame(raw, at):
    """The content of the frame at this place, None where there is none that is whole."""
    if len(raw) - at < HEAD.size:
        return None
    mark, length, checksum = HEAD.unpack_from(raw, at)
    if mark != MARK or length > MOST or at + HEAD.size + length > len(raw):
        return None
    content = raw[at + HEAD.size : at + HEAD.size + length]
    return content if zlib.crc32(content, zlib.crc32(struct.pack(">I", length))) == checksum else None


def another(raw, at):
    """Whether any whole frame stands behind this place."""
    while (at := raw.find(MARK, at + 1)) >= 0:
        if whole_frame(raw, at) is not None:
            return True
    return False


def head_of(owner):
    text = encode({"format": FORMAT, **owner})
    return MAGIC + frame(text)


class WriteAheadLog:
    """`owner`: a map of names, told from others' by each of its figures. `keep` takes a record, and gives
    the fewest that lead to the same by `compacted_records()`.
    """

    def __init__(self, folder, name, owner, keep, log=lambda event, **fields: None):
        self.folder, self.name, self.owner, self.keep, self.log = folder, name, owner, keep, log
        self.path = os.path.join(folder.path, name)
        self.file, self.size = None, 0

    def open(self):
        """Reads what there is into `keep`; raises Damaged or BadFolder with one plain message."""
        try:
            if not os.path.exists(self.path):
                self.rewrite([])
                return self
            with open(self.path, "rb") as file:
                raw = file.read()
            self.size = self.read(raw)
            self.file = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
            if self.size < len(raw):
                self.log("log_truncated", file=self.path, at=self.size, bytes=len(raw) - self.size)
                os.ftruncate(self.file, self.size)
                os.fsync(self.file)
            os.lseek(self.file, self.size, os.SEEK_SET)
        except DataDirectoryError:
            raise
        except OSError as error:
            raise DataDirectoryError(error.errno, f"{self.path}: {error.strerror}") from None
        return self

    def read(self, raw):
        if not raw.startswith(MAGIC):
            raise DamagedLogError(0, f"{self.path} is no journal of mastledge")
        at = len(MAGIC)
        content = whole_frame(raw, at)
        if content is None:
            raise DamagedLogError(0, f"{self.path} is spoilt at its head")
        told = decode(decode(content))
        if told["format"] != FORMAT:
            raise DataDirectoryError(
                0,
                f"{self.path} is of format {told['format']}, written by another version; "
                f"this one reads {FORMAT}",
            )
        for what, ours in self.owner.items():
            # One that was written before this was told apart belongs to whoever has it.
            if told.get(what, ours) != ours:
                raise DataDirectoryError(
                    0, f"{self.path} belongs to another {what}: {told.get(what)}, not {ours}"
                )
        at += HEAD.size + len(content)
        while at < len(raw):
            content = whole_frame(raw, at)
            if content is None:
                if another(raw, at):
                    raise DamagedLogError(0, f"{self.path} is spoilt at byte {at}, and not at its end")
                break
            for record in decode(content):
                try:
                    self.keep.apply(record)
                except (ValueError, TypeError, IndexError) as error:
                    raise DamagedLogError(0, f"{self.path} can't be followed at byte {at}: {error}") from None
            at += HEAD.size + len(content)
        return at

    def append(self, records):
        """Writes and syncs; OSError, and then nothing counts until `rewrite` has gone well."""
        if self.file is None:
            raise OSError(0, "not open")
        raw = frame(records)
        try:
            view = memoryview(raw)
            while view:
                view = view[os.write(self.file, view) :]
            os.fdatasync(self.file)
        except OSError:
            # What stands there now isn't known; the kernel may have dropped pages that it could not write.
            os.close(self.file)
            self.file = None
            raise
        self.size += len(raw)

    def rewrite(self, records):
        """A new file in the place of the old one, as a whole."""
        place = self.path + ".new"
        file = os.open(place, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            # In parts, as nobody else runs while one is encoded; the file is there as a whole all the same.
            parts = (records[at : at + PART] for at in range(0, len(records), PART))
            size = 0
            for raw in chain((head_of(self.owner),), map(frame, parts)):
                view, size = memoryview(raw), size + len(raw)
                while view:
                    view = view[os.write(file, view) :]
            os.fsync(file)
            os.replace(place, self.path)
            self.folder.sync()
        except OSError:
            os.close(file)
            raise
        if self.file is not None:
            os.close(self.file)
        self.file, self.size = file, size

    def close(self):
        if self.file is not None:
            os.close(self.file)
            self.file = None
