"""Files: a journal cut at every byte, spoilt, of others, on a disk that fails; the folder and the thread
that writes.
"""

import os
import resource
import select

import pytest

from mastledge.storage.data_directory import DataDirectory, DataDirectoryError
from mastledge.storage.write_ahead_log import MARK, PART, DamagedLogError, WriteAheadLog
from mastledge.storage.writer import Writer


class Sums:
    """Keeps a sum a name."""

    def __init__(self):
        self.sums = {}

    def reset(self):
        self.sums = {}

    def apply(self, record):
        name, n = record
        self.sums[name] = self.sums.get(name, 0) + n

    def compacted_records(self):
        return sorted(self.sums.items())


def journal(path, owner=None, logged=None):
    log = (
        (lambda event, **fields: logged.append((event, fields)))
        if logged is not None
        else (lambda *a, **k: None)
    )
    return WriteAheadLog(DataDirectory(str(path)).hold(), "j", owner or {"name": "n0"}, Sums(), log)


def put_away(made):
    made.close()
    made.folder.release()


def written(path, frames=4):
    made = journal(path).open()
    sizes = [made.size]
    for n in range(frames):
        made.append([("a", 1), ("b", n)])
        sizes.append(made.size)
    put_away(made)
    return sizes


def test_a_file_cut_at_every_byte_holds_the_old_state_or_the_new(tmp_path):
    sizes = written(tmp_path)
    raw = (tmp_path / "j").read_bytes()
    for at in range(sizes[0], len(raw)):
        (tmp_path / "j").write_bytes(raw[:at])
        logged = []
        made = journal(tmp_path, logged=logged).open()
        whole = sum(size <= at for size in sizes) - 1
        assert made.keep.sums.get("a", 0) == whole and made.keep.sums.get("b", 0) == sum(range(whole))
        assert (logged == []) == (at in sizes) and os.path.getsize(tmp_path / "j") == sizes[whole]
        assert all(fields["at"] == sizes[whole] for _, fields in logged)
        made.append([("a", 10)])
        put_away(made)
        made = journal(tmp_path).open()
        assert made.keep.sums["a"] == whole + 10
        put_away(made)


def test_a_byte_spoilt_in_the_middle_stops_the_start_and_at_the_end_is_cut(tmp_path):
    sizes = written(tmp_path)
    raw = (tmp_path / "j").read_bytes()
    for at in range(len(raw)):
        (tmp_path / "j").write_bytes(raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :])
        made = journal(tmp_path)
        if at >= sizes[-2]:
            assert made.open().keep.sums["a"] == 3
            put_away(made)
            continue
        with pytest.raises(DataDirectoryError) as error:
            made.open()
        assert str(error.value).count("\n") == 0 and "j" in str(error.value)
        put_away(made)
    (tmp_path / "j").write_bytes(raw)
    made = journal(tmp_path).open()
    assert made.keep.sums["a"] == 4
    put_away(made)


def test_another_name_format_or_process_is_one_plain_message(tmp_path, monkeypatch):
    written(tmp_path)
    made = journal(tmp_path, {"name": "n1"})
    with pytest.raises(DataDirectoryError, match="belongs to another name: n0, not n1"):
        made.open()
    with pytest.raises(DataDirectoryError, match="held by another process"):
        DataDirectory(str(tmp_path)).hold()
    put_away(made)
    # A fleet is told apart from the first time on that its name is written down.
    made = journal(tmp_path, {"name": "n0", "fleet": "a"}).open()
    made.rewrite([])
    put_away(made)
    made = journal(tmp_path, {"name": "n0", "fleet": "b"})
    with pytest.raises(DataDirectoryError, match="belongs to another fleet: a, not b"):
        made.open()
    put_away(made)
    monkeypatch.setattr("mastledge.storage.write_ahead_log.FORMAT", 2)
    made = journal(tmp_path)
    with pytest.raises(DataDirectoryError, match="of format 1"):
        made.open()
    put_away(made)
    (tmp_path / "j").write_bytes(b"something else")
    made = journal(tmp_path)
    with pytest.raises(DamagedLogError, match="no journal"):
        made.open()
    put_away(made)
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(DataDirectoryError, match="can't be written"):
        DataDirectory(str(tmp_path / "file" / "below")).hold()


def test_a_long_file_is_written_anew_in_parts_and_read_as_one(tmp_path):
    made = journal(tmp_path).open()
    records = [(f"n{n}", n) for n in range(3 * PART - 5)]
    made.rewrite(records)
    made.append([("n0", 7)])
    raw = (tmp_path / "j").read_bytes()
    assert len(raw) == made.size and raw.count(MARK) == 1 + 3 + 1
    made.close()
    made.folder.release()
    again = journal(tmp_path).open()
    assert again.keep.sums == {**dict(records), "n0": 7}


def test_a_crash_in_the_midst_of_a_rewrite_leaves_the_old_file(tmp_path, monkeypatch):
    written(tmp_path)
    made = journal(tmp_path).open()
    monkeypatch.setattr(os, "replace", lambda *names: (_ for _ in ()).throw(OSError(5, "cut off")))
    with pytest.raises(OSError):
        made.rewrite([("a", 1)])
    monkeypatch.undo()
    made.append([("a", 1)])
    put_away(made)
    made = journal(tmp_path).open()
    assert made.keep.sums["a"] == 5
    put_away(made)


def ended(writer, count):
    out = []
    while len(out) < count:
        assert select.select([writer.fd], [], [], 5)[0]
        out += writer.done()
    return out


def test_the_writer_tells_in_order_and_after_a_failure_waits_for_all_anew(tmp_path):
    made = journal(tmp_path).open()
    writer = Writer(made)
    for token in range(1, 6):
        writer.save(token, [("a", 1)])
    assert [one for one in ended(writer, 5)] == [(token, None) for token in range(1, 6)]
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (made.size, hard))
    try:
        writer.save(6, [("a", 1)])
        ((token, error),) = ended(writer, 1)
        assert token == 6 and isinstance(error, OSError)
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))
    # There is room again, and still nothing may follow a record that is missing.
    writer.save(7, [("a", 1)])
    assert ended(writer, 1)[0][1] is not None
    writer.rewrite(8, [("a", 6)])
    writer.save(9, [("a", 1)])
    assert [error for _, error in ended(writer, 2)] == [None, None]
    writer.close()
    made.folder.release()
    made = journal(tmp_path).open()
    assert made.keep.sums == {"a": 7}
    put_away(made)


def test_a_long_journal_is_written_anew_by_itself(tmp_path, monkeypatch):
    monkeypatch.setattr("mastledge.storage.writer.COMPACT", 2000)
    made = journal(tmp_path).open()
    writer = Writer(made)
    for token in range(1, 201):
        writer.save(token, [("a", 1)] * 8)
        ended(writer, 1)
    writer.close()
    made.folder.release()
    assert os.path.getsize(tmp_path / "j") < 4000
    made = journal(tmp_path).open()
    assert made.keep.sums == {"a": 1600}
    put_away(made)
