"""Data folders written by an older version are read: the committed ones hold at a process of now.

tests/write_stored_folders.py tells what wrote tests/fixtures/folders and what is in them. A test copies
a folder, starts a real dispatcher on it beside stand-ins, and sees by what the dispatcher does that the
folder is in force.

Why it holds at any later date: keys were written with a `keep_ms` of a hundred years. The agreement has
no time that ends it, and a fleet of one never dials the address stored for its member. A list of the
`recovery` folder is worth `list_ms` at most, so there the test moves the time stamps to now, as of
another boot, and puts the stand-ins' addresses of this run in the place of those of the run that wrote
it. `Frames` does that by docs/formats.md alone.
"""

import json
import shutil
import struct
import time
import zlib
from pathlib import Path

import msgspec
import pytest
from folder_processes import (
    AGREED_TYPE,
    ANSWERED_KEY,
    BODY,
    DISPATCHER,
    HOST,
    OPEN_KEY,
    PATCHED_UTILITY,
    RESTRICTED,
    STORED_GENERATION,
    WORKERS,
    Site,
    wait_until,
)

FOLDERS = Path(__file__).resolve().parent / "fixtures" / "folders"
JOBS = 20
FREE = next(name for name in WORKERS if name != RESTRICTED)


class Frames:
    """A journal as docs/formats.md tells it: a line, then frames of mark, length, CRC-32 and content."""

    LINE, MARK, HEAD = b"mastledge journal\n", b"\xa5frm", struct.Struct(">4sII")

    @classmethod
    def read(cls, path):
        """The head's content, and each list of records behind it."""
        raw = path.read_bytes()
        assert raw.startswith(cls.LINE)
        at, contents = len(cls.LINE), []
        while at < len(raw):
            mark, length, checksum = cls.HEAD.unpack_from(raw, at)
            at += cls.HEAD.size
            content = raw[at : at + length]
            assert mark == cls.MARK
            assert checksum == cls.checksum(content)
            contents.append(content)
            at += length
        return contents[0], [msgspec.msgpack.decode(content) for content in contents[1:]]

    @classmethod
    def write(cls, path, head, frames):
        contents = [head, *map(msgspec.msgpack.encode, frames)]
        framed = [cls.HEAD.pack(cls.MARK, len(one), cls.checksum(one)) + one for one in contents]
        path.write_bytes(cls.LINE + b"".join(framed))

    @staticmethod
    def checksum(content):
        return zlib.crc32(struct.pack(">I", len(content)) + content)


def brought_to_now(path, site):
    """Moves what a recovery folder holds to this moment and to the stand-ins of this run."""
    head, frames = Frames.read(path)
    now = time.time_ns() // 1000
    shift = now - max(record[1] for records in frames for record in records)
    for record in (record for records in frames for record in records):
        what, at = record[:2]
        # Monotonic times end with their boot, and the one that wrote this is over.
        record[1], record[3] = at + shift, "the boot that wrote it"
        if what == "list":
            record[4] = site.registry()
            for name, worker in record[6].items():
                worker[2] = [HOST, site.worker(name).server_port]
        if what == "out":
            for name, out in record[4].items():
                out[1], out[3] = [HOST, site.worker(name).server_port], out[3] + shift
    Frames.write(path, head, frames)


@pytest.fixture
def stored(tmp_path):
    """Makes a site on a copy of the folders of one kind; the process is still to be started."""
    sites = []

    def made(kind, **options):
        place = tmp_path / kind
        shutil.copytree(FOLDERS / kind, place)
        sites.append(Site(place, kind, **options))
        return sites[-1]

    yield made
    for site in sites:
        site.end()


def written(kind):
    return json.loads((FOLDERS / kind / "written.json").read_text())


def kinds_of_records(path):
    return {record[0] for records in Frames.read(path)[1] for record in records}


def served_by_the_free_one(site):
    return site.served(JOBS) == {FREE: JOBS, RESTRICTED: 0}


@pytest.mark.parametrize(
    ("journal", "kinds"),
    [
        ("agreement/peers/agreement", {"identity", "hard", "snapshot", "entry"}),
        ("repeats/repeats/repeats", {"claim", "end"}),
        ("copies/repeats/copies", {"holder", "fence", "claim", "end"}),
        ("recovery/recovery/recovery", {"list", "out", "learned"}),
    ],
)
def test_the_committed_folders_hold_the_records_that_this_guard_is_of(journal, kinds):
    assert kinds_of_records(FOLDERS / journal) >= kinds


def test_the_committed_agreement_holds_changes_of_these_kinds_behind_its_snapshot():
    _, frames = Frames.read(FOLDERS / "agreement" / "peers" / "agreement")
    entries = [record[2] for records in frames for record in records if record[0] == "entry"]
    kinds = {change["kind"] for _, _, change in entries}
    assert kinds >= {"out", "back", "settings", "patch", "relays", "add", "remove"}


def test_agreed_settings_and_the_worker_excluded_by_hand_are_in_force_again(stored):
    site = stored("agreement")
    site.start()
    agreed = site.told("/api/agreed")
    version = written("agreement")["settings_version"]
    assert agreed["settings_version"] == version
    assert agreed["out"] == [RESTRICTED]
    assert set(agreed["members"]) == {DISPATCHER}
    assert agreed["fan_out"] == 4
    status, headers, content = site.call("GET", "/api/settings")
    assert status == 200
    assert headers["ETag"] == f'"{version}"'
    assert json.loads(content)["excessUtility"] == PATCHED_UTILITY
    # The file names no such type: only the agreed settings do.
    status, content = site.job(kind=AGREED_TYPE)
    assert status == 200, content
    assert served_by_the_free_one(site)
    # Nothing but that word kept it off.
    assert site.call("POST", f"/api/include/{RESTRICTED}")[0] == 200
    wait_until(lambda: site.served(1)[RESTRICTED], "the included worker is used")


@pytest.mark.parametrize("kind", ["repeats", "copies"])
def test_a_stored_key_is_answered_as_before_and_nothing_runs_again(kind, stored):
    site = stored(kind)
    site.start()
    wait_until(lambda: site.call("GET", "/api/copies")[0] == 200, "the keys are read")
    if kind == "copies":
        wait_until(lambda: site.told("/api/copies")["takes_part"], "the folder's start is agreed")
    status, content = site.job(ANSWERED_KEY)
    assert (status, content.decode()) == (200, written(kind)["answer"])
    # The body's fingerprint is stored as well.
    assert site.job(ANSWERED_KEY, body=BODY + b"!")[0] == 422
    # It ran when its dispatcher was killed: nobody launches it again.
    assert site.job(OPEN_KEY)[0] == 409
    assert not any(worker.ran for worker in site.workers)
    # A key that is not stored is launched, so what kept the others back is the folder.
    assert site.job("key-new")[0] == 200
    assert [key for worker in site.workers for key, _ in worker.ran] == ["key-new"]


def test_a_worker_that_the_stored_list_restricts_stays_off_by_an_older_list(stored):
    site = stored("recovery", generation=STORED_GENERATION - 1)
    brought_to_now(site.place / "recovery" / "recovery", site)
    site.start()
    told = site.told("/api/recovery")
    assert told["believed"]["not"] == {}
    assert told["believed"]["workers"] == len(WORKERS)
    assert told["believed"]["learned"]
    assert told["believed"]["out"] == 1
    assert wait_until(lambda: site.told("/api/recovery")["kept_off"], "kept off") == [RESTRICTED]
    assert served_by_the_free_one(site)
    # The list of now calls it ready; once that is a newer one than the stored, it counts.
    site.discovery.generation = STORED_GENERATION + 1
    wait_until(lambda: not site.told("/api/recovery")["kept_off"], "the newer list is believed")
    wait_until(lambda: site.served(1)[RESTRICTED], "the freed worker is used")
