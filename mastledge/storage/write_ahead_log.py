"""An append-only file of records, replayed into a state when it is opened; see docs/formats.md.

Records that are appended together form one frame with one checksum, so either all of them are stored or none.
A frame is written only after the previous one is synced, so only the last frame can be torn by a crash.
"""

import os
from collections.abc import Callable, Mapping, Sequence
from itertools import chain
from typing import Any

from mastledge.storage import frames
from mastledge.storage.data_directory import FILE_MODE, DataDirectory
from mastledge.storage.errors import (
    DamagedLogError,
    DataDirectoryError,
    ForeignLogError,
    LogNotWritableError,
    StorageError,
    UnsupportedFormatError,
)
from mastledge.storage.replayed_state import ReplayedState

RECORDS_PER_FRAME = 512  # in a rewritten file
REWRITE_SUFFIX = ".new"


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of `data`, in several calls if needed; after an `OSError` an unknown part is written."""
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(descriptor, rest) :]


class WriteAheadLog:
    """One log file of a data directory. Not thread-safe: an open log belongs to one `Writer`."""

    def __init__(
        self,
        directory: DataDirectory,
        name: str,
        owner: Mapping[str, str],
        state: ReplayedState,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        """Prepare a log in the file `name` of a directory that this process has locked.

        `owner` identifies the owner of the records: a file with another value for one of its keys is refused.
        `log` takes an event and its fields.
        """
        self.directory, self.name, self.owner, self.state, self.log = directory, name, owner, state, log
        self.path = os.path.join(directory.path, name)
        self.descriptor: int | None = None
        self.size = 0  # bytes

    def open(self) -> "WriteAheadLog":
        """Replay the file into the state, or create the file; a torn last frame is cut off and logged.

        Raise `DamagedLogError`, `ForeignLogError`, `UnsupportedFormatError`, or `DataDirectoryError` if a
        system call fails.
        """
        try:
            if os.path.exists(self.path):
                self._open_existing()
            else:
                self.rewrite([])
        except StorageError:
            raise
        except OSError as error:
            raise DataDirectoryError(error.errno, f"{self.path}: {error.strerror}") from None
        return self

    def append(self, records: Sequence[Any]) -> None:
        """Write these records as one frame and sync it.

        After an `OSError` nothing may be appended until `rewrite` has succeeded.
        """
        if self.descriptor is None:
            raise LogNotWritableError(0, f"{self.path} is not open")
        frame = frames.encode_frame(records)
        try:
            write_all(self.descriptor, frame)
            os.fdatasync(self.descriptor)
        except OSError:
            # The content of the file is unknown now: the kernel may have dropped pages it could not write.
            self.close()
            raise
        self.size += len(frame)

    def rewrite(self, records: Sequence[Any]) -> None:
        """Replace the file by one with these records; after an `OSError` the old file is still there."""
        replacement = self.path + REWRITE_SUFFIX
        descriptor = os.open(replacement, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
        try:
            size = self._write_file(descriptor, records)
            os.replace(replacement, self.path)
            self.directory.sync()
        except OSError:
            os.close(descriptor)
            raise
        self.close()
        self.descriptor, self.size = descriptor, size

    def close(self) -> None:
        """Close the file; all appended records are already synced."""
        if self.descriptor is not None:
            os.close(self.descriptor)
            self.descriptor = None

    def _open_existing(self) -> None:
        with open(self.path, "rb") as file:
            data = file.read()
        self.size = self._replay(data)
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_CLOEXEC)
        if self.size < len(data):
            self.log("log_truncated", file=self.path, at=self.size, bytes=len(data) - self.size)
            os.ftruncate(self.descriptor, self.size)
            os.fsync(self.descriptor)
        os.lseek(self.descriptor, self.size, os.SEEK_SET)

    def _replay(self, data: bytes) -> int:
        """Apply all whole frames and return the offset of the end of the last one."""
        offset = self._check_header(data)
        while offset < len(data):
            content = frames.whole_frame(data, offset)
            if content is None:
                if frames.has_whole_frame_after(data, offset):
                    raise DamagedLogError(0, f"{self.path} is spoilt at byte {offset}, and not at its end")
                break
            self._apply(frames.decode_content(content), offset)
            offset += frames.FRAME_HEADER.size + len(content)
        return offset

    def _apply(self, records: Sequence[Any], offset: int) -> None:
        for record in records:
            try:
                self.state.apply(record)
            except (ValueError, TypeError, IndexError) as error:
                raise DamagedLogError(0, f"{self.path} can't be followed at byte {offset}: {error}") from None

    def _check_header(self, data: bytes) -> int:
        """Check the format and the owner in the file's header, and return the offset after it."""
        if not data.startswith(frames.FILE_MAGIC):
            raise DamagedLogError(0, f"{self.path} is no journal of mastledge")
        content = frames.whole_frame(data, len(frames.FILE_MAGIC))
        if content is None:
            raise DamagedLogError(0, f"{self.path} is spoilt at its head")
        header = frames.decode_file_header(content)
        if header["format"] != frames.FORMAT_VERSION:
            raise UnsupportedFormatError(
                0,
                f"{self.path} is of format {header['format']}, written by another version; "
                f"this one reads {frames.FORMAT_VERSION}",
            )
        self._check_owner(header)
        return len(frames.FILE_MAGIC) + frames.FRAME_HEADER.size + len(content)

    def _check_owner(self, header: Mapping[str, Any]) -> None:
        for key, expected in self.owner.items():
            # A file of an earlier version may lack this key; it is accepted for any owner.
            found = header.get(key, expected)
            if found != expected:
                raise ForeignLogError(0, f"{self.path} belongs to another {key}: {found}, not {expected}")

    def _write_file(self, descriptor: int, records: Sequence[Any]) -> int:
        """Write a whole file, sync it and return its size in bytes."""
        # Encode in parts, because encoding blocks all other threads.
        starts = range(0, len(records), RECORDS_PER_FRAME)
        parts = (records[start : start + RECORDS_PER_FRAME] for start in starts)
        size = 0
        for data in chain((frames.encode_file_header(self.owner),), map(frames.encode_frame, parts)):
            write_all(descriptor, data)
            size += len(data)
        os.fsync(descriptor)
        return size
