"""Files that last: a log cut at every byte, damaged, of others, on a disk that fails; the data directory and
the thread that writes.
"""

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
    """A replayed state: one sum a name."""

    def __init__(self):
        self.sums = {}

    def reset(self):
        self.sums = {}

    def apply(self, record):
        name, n = record
        self.sums[name] = self.sums.get(name, 0) + n

    def compacted_records(self):
        return sorted(self.sums.items())


class LogFile:
    """A log in a directory of its own; one at a time is open, or has at least the lock."""

    def __init__(self, path):
        self.directory_path, self.path = path, path / LOG_NAME
        self.events, self.wal = [], None

    def unopened(self, **owner):
        """Locks the directory, and lets go of the log that was in use before."""
        self.put_away()
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
        """What the file amounts to for one who opens it now."""
        return self.opened().state.sums

    def put_away(self):
        if self.wal is not None:
            self.wal.close()
            self.wal.directory.release()
            self.wal = None

    def write_frames(self, count=4):
        """So many frames; gives the size of the file before the first and after each."""
        wal = self.opened()
        sizes = [wal.size]
        for n in range(count):
            wal.append([("a", 1), ("b", n)])
            sizes.append(wal.size)
        self.put_away()
        return sizes


@pytest.fixture
def log_file(tmp_path):
    made = LogFile(tmp_path)
    yield made
    made.put_away()


@pytest.fixture
def writer(log_file):
    made = Writer(log_file.opened())
    yield made
    if made.thread.is_alive():
        made.close()


def results(writer, count):
    """So many results, waited for as the loop does."""
    out = []
    while len(out) < count:
        assert select.select([writer.fd], [], [], 5)[0]
        out += writer.completed()
    return out


def test_a_file_cut_at_every_byte_holds_the_old_state_or_the_new(log_file):
    sizes = log_file.write_frames()
    raw = log_file.path.read_bytes()
    for at in range(sizes[0], len(raw)):
        log_file.path.write_bytes(raw[:at])
        wal = log_file.opened()
        whole = sum(size <= at for size in sizes) - 1
        assert wal.state.sums.get("a", 0) == whole
        assert wal.state.sums.get("b", 0) == sum(range(whole))
        assert (log_file.events == []) == (at in sizes)
        assert os.path.getsize(log_file.path) == sizes[whole]
        assert all(fields["at"] == sizes[whole] for _, fields in log_file.events)
        wal.append([("a", 10)])
        assert log_file.sums()["a"] == whole + 10


def test_a_byte_damaged_in_the_middle_stops_the_start_and_at_the_end_is_cut(log_file):
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


def test_a_log_of_another_name_is_refused_in_one_plain_message(log_file):
    log_file.write_frames()
    with pytest.raises(ForeignLogError, match="belongs to another name: n0, not n1"):
        log_file.opened(name="n1")


def test_a_fleet_is_told_apart_from_the_first_time_on_that_its_name_is_written(log_file):
    log_file.write_frames()
    log_file.opened(name="n0", fleet="a").rewrite([])
    with pytest.raises(ForeignLogError, match="belongs to another fleet: a, not b"):
        log_file.opened(name="n0", fleet="b")


def test_a_log_of_another_format_is_refused_in_one_plain_message(log_file, monkeypatch):
    log_file.write_frames()
    monkeypatch.setattr("mastledge.storage.frames.FORMAT_VERSION", 2)
    with pytest.raises(UnsupportedFormatError, match="has format 1"):
        log_file.opened()


def test_a_file_that_is_no_log_is_refused_in_one_plain_message(log_file):
    log_file.path.write_bytes(b"something else")
    with pytest.raises(DamagedLogError, match="not a mastledge write-ahead log"):
        log_file.opened()


def test_a_directory_has_one_process_at_a_time(log_file, tmp_path):
    log_file.opened()
    with pytest.raises(DirectoryLockedError, match="locked by another process"):
        DataDirectory(str(tmp_path)).acquire()
    log_file.put_away()
    again = DataDirectory(str(tmp_path)).acquire()
    again.release()


def test_a_directory_that_cannot_be_written_is_one_plain_message(tmp_path):
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(DataDirectoryError, match="cannot be written"):
        DataDirectory(str(tmp_path / "file" / "below")).acquire()


def test_a_closed_log_takes_nothing(log_file):
    wal = log_file.opened()
    wal.close()
    with pytest.raises(LogNotWritableError, match="is not open"):
        wal.append([("a", 1)])


def test_a_long_file_is_rewritten_in_parts_and_read_as_one(log_file):
    wal = log_file.opened()
    records = [(f"n{n}", n) for n in range(3 * RECORDS_PER_FRAME - 5)]
    wal.rewrite(records)
    wal.append([("n0", 7)])
    raw = log_file.path.read_bytes()
    assert len(raw) == wal.size
    assert raw.count(FRAME_MAGIC) == 1 + 3 + 1
    assert log_file.sums() == {**dict(records), "n0": 7}


def test_a_crash_in_the_midst_of_a_rewrite_leaves_the_old_file(log_file, monkeypatch):
    log_file.write_frames()
    wal = log_file.opened()
    monkeypatch.setattr(os, "replace", lambda *names: (_ for _ in ()).throw(OSError(5, "cut off")))
    with pytest.raises(OSError, match="cut off"):
        wal.rewrite([("a", 1)])
    monkeypatch.undo()
    wal.append([("a", 1)])
    assert log_file.sums()["a"] == 5


def test_the_writer_tells_in_order_and_after_a_failure_waits_for_a_rewrite(log_file, writer):
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
    # There is room again, and still nothing may follow a record that is missing.
    writer.append(7, [("a", 1)])
    (refused,) = results(writer, 1)
    assert isinstance(refused.error, LogNotWritableError)
    writer.rewrite(8, [("a", 6)])
    writer.append(9, [("a", 1)])
    assert results(writer, 2) == [WriteResult(8, None), WriteResult(9, None)]
    writer.close()
    assert log_file.sums() == {"a": 7}


def test_a_long_log_is_compacted_by_itself(log_file, monkeypatch):
    monkeypatch.setattr("mastledge.storage.writer.MIN_COMPACTION_BYTES", 2000)
    writer = Writer(log_file.opened())
    for token in range(1, 201):
        writer.append(token, [("a", 1)] * 8)
        results(writer, 1)
    writer.close()
    assert os.path.getsize(log_file.path) < 4000
    assert log_file.sums() == {"a": 1600}
