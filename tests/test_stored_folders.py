"""Data directories that an older version wrote are loaded by the present program.

tests/write_stored_folders.py describes tests/fixtures/folders and writes it. Each test copies a folder,
starts a real dispatcher on it with stub servers, and checks by its behaviour that the data is in force.

The fixtures don't expire: keys were stored with a retention of a hundred years, the raft state has no
expiry, and a fleet of one never connects to the stored address of its member. A list in the `recovery`
folder expires after `list_ms`, so the test moves its time stamps to now, as of another boot, and replaces
the addresses of the stub servers. `Frames` follows docs/formats.md and uses nothing of the package.
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
JOB_COUNT = 20
UNRESTRICTED = next(name for name in WORKERS if name != RESTRICTED)


class Frames:
    """The journal format of docs/formats.md: a line, then frames of mark, length, CRC-32 and content."""

    LINE, MARK, HEAD = b"mastledge journal\n", b"\xa5frm", struct.Struct(">4sII")

    @classmethod
    def read(cls, path):
        """Return the content of the head, and the list of records of each further frame."""
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
        framed = [
            cls.HEAD.pack(cls.MARK, len(content), cls.checksum(content)) + content for content in contents
        ]
        path.write_bytes(cls.LINE + b"".join(framed))

    @staticmethod
    def checksum(content):
        return zlib.crc32(struct.pack(">I", len(content)) + content)


def move_to_present(path, site):
    """Move the records of a recovery folder to the present time and to the stub servers of this run."""
    head, frames = Frames.read(path)
    now = time.time_ns() // 1000
    shift = now - max(record[1] for records in frames for record in records)
    for record in (record for records in frames for record in records):
        kind, at = record[:2]
        # Monotonic times are valid within one boot only.
        record[1], record[3] = at + shift, "the boot that wrote it"
        if kind == "list":
            record[4] = site.registry()
            for name, worker in record[6].items():
                worker[2] = [HOST, site.worker(name).server_port]
        if kind == "out":
            for name, launches in record[4].items():
                launches[1], launches[3] = [HOST, site.worker(name).server_port], launches[3] + shift
    Frames.write(path, head, frames)


@pytest.fixture
def stored(tmp_path):
    """Return a function that makes a site on a copy of the folders of a kind, without starting it."""
    sites = []

    def make_site(kind, **options):
        place = tmp_path / kind
        shutil.copytree(FOLDERS / kind, place)
        sites.append(Site(place, kind, **options))
        return sites[-1]

    yield make_site
    for site in sites:
        site.end()


def written(kind):
    return json.loads((FOLDERS / kind / "written.json").read_text())


def kinds_of_records(path):
    return {record[0] for records in Frames.read(path)[1] for record in records}


def only_unrestricted_worker_serves(site):
    return site.served(JOB_COUNT) == {UNRESTRICTED: JOB_COUNT, RESTRICTED: 0}


@pytest.mark.parametrize(
    ("journal", "kinds"),
    [
        ("agreement/peers/agreement", {"identity", "hard", "snapshot", "entry"}),
        ("repeats/repeats/repeats", {"claim", "end"}),
        ("copies/repeats/copies", {"holder", "fence", "claim", "end"}),
        ("recovery/recovery/recovery", {"list", "out", "learned"}),
    ],
)
def test_committed_folders_hold_each_kind_of_record(journal, kinds):
    assert kinds_of_records(FOLDERS / journal) >= kinds


def test_committed_raft_log_holds_each_kind_of_change_after_its_snapshot():
    _, frames = Frames.read(FOLDERS / "agreement" / "peers" / "agreement")
    entries = [record[2] for records in frames for record in records if record[0] == "entry"]
    kinds = {change["kind"] for _, _, change in entries}
    assert kinds >= {"out", "back", "settings", "patch", "relays", "add", "remove"}


def test_stored_settings_and_excluded_worker_are_in_force(stored):
    site = stored("agreement")
    site.start()
    agreed = site.get_json("/api/agreed")
    version = written("agreement")["settings_version"]
    assert agreed["settings_version"] == version
    assert agreed["out"] == [RESTRICTED]
    assert set(agreed["members"]) == {DISPATCHER}
    assert agreed["fan_out"] == 4
    status, headers, content = site.call("GET", "/api/settings")
    assert status == 200
    assert headers["ETag"] == f'"{version}"'
    assert json.loads(content)["excessUtility"] == PATCHED_UTILITY
    # Only the committed settings have this queue type, the configuration file has not.
    status, content = site.job(kind=AGREED_TYPE)
    assert status == 200, content
    assert only_unrestricted_worker_serves(site)
    # The worker was kept off by the exclusion alone.
    assert site.call("POST", f"/api/include/{RESTRICTED}")[0] == 200
    wait_until(lambda: site.served(1)[RESTRICTED], "the included worker is used")


@pytest.mark.parametrize("kind", ["repeats", "copies"])
def test_stored_key_is_answered_as_before_without_a_launch(kind, stored):
    site = stored(kind)
    site.start()
    wait_until(lambda: site.call("GET", "/api/copies")[0] == 200, "the keys are read")
    if kind == "copies":
        wait_until(
            lambda: site.get_json("/api/copies")["takes_part"], "the start of the data directory is committed"
        )
    status, content = site.job(ANSWERED_KEY)
    assert (status, content.decode()) == (200, written(kind)["answer"])
    # The fingerprint of the body is stored as well.
    assert site.job(ANSWERED_KEY, body=BODY + b"!")[0] == 422
    # This job ran when its dispatcher was killed, and is not launched again.
    assert site.job(OPEN_KEY)[0] == 409
    assert not any(worker.ran for worker in site.workers)
    # A new key is launched, so it was the stored data that prevented the other launches.
    assert site.job("key-new")[0] == 200
    assert [key for worker in site.workers for key, _ in worker.ran] == ["key-new"]


def test_worker_restricted_by_the_stored_list_stays_restricted_with_an_older_list(stored):
    site = stored("recovery", generation=STORED_GENERATION - 1)
    move_to_present(site.place / "recovery" / "recovery", site)
    site.start()
    recovery = site.get_json("/api/recovery")
    assert recovery["believed"]["not"] == {}
    assert recovery["believed"]["workers"] == len(WORKERS)
    assert recovery["believed"]["learned"]
    assert recovery["believed"]["out"] == 1
    assert wait_until(lambda: site.get_json("/api/recovery")["kept_off"], "kept off") == [RESTRICTED]
    assert only_unrestricted_worker_serves(site)
    # The present list has the worker as ready, and applies once it is newer than the stored one.
    site.discovery.generation = STORED_GENERATION + 1
    wait_until(lambda: not site.get_json("/api/recovery")["kept_off"], "the newer list is in force")
    wait_until(lambda: site.served(1)[RESTRICTED], "the freed worker is used")
