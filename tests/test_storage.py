"""Durable files: torn, damaged and foreign logs, failing disks, the data directory and the writer thread."""

import os
import resource
import select

import pytest

from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.errors import (
    DamagedLogError,
    DataDirectoryError,
    DirectoryLockedError,
    ForeignLogError,
    LogNotWritableError,
    UnsupportedFormatError,
)
from mastledge.storage.frames import FRAME_MAGIC
from mastledge.storage.write_ahead_log import RECORDS_PER_FRAME, WriteAheadLog
from mastledge.storage.writer import Writer, WriteResult

LOG_NAME = "j"


class Sums:
    """A replayed state that holds one sum for each name."""

    def __init__(self):
        self.sums = {}

    def reset(self):
        self.sums = {}

    def apply(self, record):
        name, amount = record
        self.sums[name] = self.sums.get(name, 0) + amount

    def compacted_records(self):
        return sorted(self.sums.items())


class LogFile:
    """A log in its directory; at most one `WriteAheadLog` at a time is open or holds the lock."""

    def __init__(self, path):
        self.directory_path, self.path = path, path / LOG_NAME
        self.events, self.wal = [], None

    def unopened(self, **owner):
        """Lock the directory and return the log unopened; release the previous log first."""
        self.release_log()
        self.events = []
        directory = DataDirectory(str(self.directory_path)).acquire()
        self.wal = WriteAheadLog(
            directory,
            LOG_NAME,
            owner or {"name": "n0"},
            Sums(),
            lambda event, **fields: self.events.append((event, fields)),
        )
        return self.wal

    def opened(self, **owner):
        return self.unopened(**owner).open()

    def sums(self):
        """Reopen the log and return its sums."""
        return self.opened().state.sums

    def release_log(self):
        if self.wal is not None:
            self.wal.close()
            self.wal.directory.release()
            self.wal = None

    def write_frames(self, count=4):
        """Write `count` frames; return the file size before the first and after each of them."""
        wal = self.opened()
        sizes = [wal.size]
        for n in range(count):
            wal.append([("a", 1), ("b", n)])
            sizes.append(wal.size)
        self.release_log()
        return sizes


@pytest.fixture
def log_file(tmp_path):
    log = LogFile(tmp_path)
    yield log
    log.release_log()


@pytest.fixture
def writer(log_file):
    running_writer = Writer(log_file.opened())
    yield running_writer
    if running_writer.thread.is_alive():
        running_writer.close()


def results(writer, count):
    """Wait for `count` results of the writer, as the event loop does, and return them."""
    collected = []
    while len(collected) < count:
        assert select.select([writer.fd], [], [], 5)[0]
        collected += writer.completed()
    return collected


def test_log_cut_at_any_byte_keeps_only_whole_frames(log_file):
    sizes = log_file.write_frames()
    raw = log_file.path.read_bytes()
    for at in range(sizes[0], len(raw)):
        log_file.path.write_bytes(raw[:at])
        wal = log_file.opened()
        frame_count = sum(size <= at for size in sizes) - 1
        assert wal.state.sums.get("a", 0) == frame_count
        assert wal.state.sums.get("b", 0) == sum(range(frame_count))
        assert (log_file.events == []) == (at in sizes)
        assert os.path.getsize(log_file.path) == sizes[frame_count]
        assert all(fields["at"] == sizes[frame_count] for _, fields in log_file.events)
        wal.append([("a", 10)])
        assert log_file.sums()["a"] == frame_count + 10


def test_damaged_byte_is_an_error_except_in_the_last_frame_which_is_cut_off(log_file):
    sizes = log_file.write_frames()
    raw = log_file.path.read_bytes()
    for at in range(len(raw)):
        log_file.path.write_bytes(raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :])
        wal = log_file.unopened()
        if at >= sizes[-2]:
            assert wal.open().state.sums["a"] == 3
            continue
        with pytest.raises(DamagedLogError) as error:
            wal.open()
        assert str(error.value).count("\n") == 0
        assert str(log_file.path) in str(error.value)
    log_file.path.write_bytes(raw)
    assert log_file.sums()["a"] == 4


def test_log_of_another_dispatcher_is_refused(log_file):
    log_file.write_frames()
    with pytest.raises(ForeignLogError, match="belongs to another name: n0, not n1"):
        log_file.opened(name="n1")


def test_log_of_another_fleet_is_refused_once_the_fleet_is_in_the_header(log_file):
    log_file.write_frames()
    log_file.opened(name="n0", fleet="a").rewrite([])
    with pytest.raises(ForeignLogError, match="belongs to another fleet: a, not b"):
        log_file.opened(name="n0", fleet="b")


def test_log_of_another_format_is_refused(log_file, monkeypatch):
    log_file.write_frames()
    monkeypatch.setattr("mastledge.storage.frames.FORMAT_VERSION", 2)
    with pytest.raises(UnsupportedFormatError, match="of format 1"):
        log_file.opened()


def test_file_that_is_not_a_log_is_refused(log_file):
    log_file.path.write_bytes(b"something else")
    with pytest.raises(DamagedLogError, match="no journal"):
        log_file.opened()


def test_directory_is_locked_by_one_process_at_a_time(log_file, tmp_path):
    log_file.opened()
    with pytest.raises(DirectoryLockedError, match="held by another process"):
        DataDirectory(str(tmp_path)).acquire()
    log_file.release_log()
    directory = DataDirectory(str(tmp_path)).acquire()
    directory.release()


def test_directory_that_cannot_be_written_is_refused(tmp_path):
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(DataDirectoryError, match="can't be written"):
        DataDirectory(str(tmp_path / "file" / "below")).acquire()


def test_append_to_closed_log_is_refused(log_file):
    wal = log_file.opened()
    wal.close()
    with pytest.raises(LogNotWritableError, match="is not open"):
        wal.append([("a", 1)])


def test_long_log_is_rewritten_in_several_frames(log_file):
    wal = log_file.opened()
    records = [(f"n{n}", n) for n in range(3 * RECORDS_PER_FRAME - 5)]
    wal.rewrite(records)
    wal.append([("n0", 7)])
    raw = log_file.path.read_bytes()
    assert len(raw) == wal.size
    assert raw.count(FRAME_MAGIC) == 1 + 3 + 1
    assert log_file.sums() == {**dict(records), "n0": 7}


def test_failed_rewrite_keeps_the_old_file(log_file, monkeypatch):
    log_file.write_frames()
    wal = log_file.opened()
    monkeypatch.setattr(os, "replace", lambda *names: (_ for _ in ()).throw(OSError(5, "cut off")))
    with pytest.raises(OSError, match="cut off"):
        wal.rewrite([("a", 1)])
    monkeypatch.undo()
    wal.append([("a", 1)])
    assert log_file.sums()["a"] == 5


def test_writer_reports_in_order_and_refuses_appends_from_failure_to_rewrite(log_file, writer):
    for token in range(1, 6):
        writer.append(token, [("a", 1)])
    assert results(writer, 5) == [WriteResult(token, None) for token in range(1, 6)]
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (writer.wal.size, hard))
    try:
        writer.append(6, [("a", 1)])
        (failed,) = results(writer, 1)
        assert failed.token == 6
        assert isinstance(failed.error, OSError)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    # The disk has room again, but an append must not follow a missing record.
    writer.append(7, [("a", 1)])
    (refused,) = results(writer, 1)
    assert isinstance(refused.error, LogNotWritableError)
    writer.rewrite(8, [("a", 6)])
    writer.append(9, [("a", 1)])
    assert results(writer, 2) == [WriteResult(8, None), WriteResult(9, None)]
    writer.close()
    assert log_file.sums() == {"a": 7}


def test_long_log_is_compacted_automatically(log_file, monkeypatch):
    monkeypatch.setattr("mastledge.storage.writer.MIN_COMPACTION_BYTES", 2000)
    writer = Writer(log_file.opened())
    for token in range(1, 201):
        writer.append(token, [("a", 1)] * 8)
        results(writer, 1)
    writer.close()
    assert os.path.getsize(log_file.path) < 4000
    assert log_file.sums() == {"a": 1600}
