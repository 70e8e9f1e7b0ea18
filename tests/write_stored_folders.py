"""Write tests/fixtures/folders, the data directories of real processes for test_stored_folders.py.

Run it by hand from the root, only to add a kind or to add folders of a newer format beside the old ones:

    python tests/write_stored_folders.py [KIND ...]

A committed folder is never written again, as it stands for data that operators have on their disks. Each
process is killed (SIGKILL) at its end, so the files are as a crash leaves them. `written.json` beside the
folders names the commit that wrote them and the answer that was given to the key.

- agreement: the settings of version 2 add a queue type. Then w1 is excluded and included until the log is
  compacted to a snapshot. Entries of each kind that a fleet of one can make without replicas follow; the
  last one excludes w1.
- repeats, copies: one key is answered; the job of another is running when the process is killed. `copies`
  is a fleet of one, which has the same records as a fleet of three.
- recovery: a list of generation 7 in which w1 is draining, learned values of the workers, and a launch in
  flight at w0.
"""

import contextlib
import json
import shutil
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from folder_processes import (
    AGREED_TYPE,
    ANSWERED_KEY,
    KINDS,
    OPEN_KEY,
    PATCHED_UTILITY,
    RESTRICTED,
    ROOT,
    STORED_GENERATION,
    Site,
    queue_type,
    settings,
    wait_until,
)

FOLDERS = Path(__file__).resolve().parent / "fixtures" / "folders"
CHANGE_PAIRS = 300
"""Pairs of changes, with more entries than those after which a member makes a snapshot."""


def open_job(site):
    """Send a job that is still running when the process is killed."""

    def send_open_job():
        with contextlib.suppress(OSError):  # the dispatcher is killed before it answers
            site.job(OPEN_KEY)

    threading.Thread(target=send_open_job, daemon=True).start()
    wait_until(
        lambda: any(key == OPEN_KEY for worker in site.workers for key, _ in worker.ran), "the open job runs"
    )


def change(site, path, document=None, headers=None):
    """Commit a change of the replicated state by an operator call."""
    body = b"" if document is None else json.dumps(document).encode()
    status, _, content = site.call("POST", path, body, headers)
    assert status == 200, (path, content)


def write_agreement(site):
    site.start(form=True)
    new_settings = {**settings(), "queueTypes": [*settings()["queueTypes"], queue_type(AGREED_TYPE)]}
    change(site, "/api/settings", new_settings, {"If-Match": '"1"'})
    for _ in range(CHANGE_PAIRS):
        change(site, f"/api/exclude/{RESTRICTED}")
        change(site, f"/api/include/{RESTRICTED}")
    version = site.get_json("/api/agreed")["settings_version"]
    change(site, "/api/settings", {**new_settings, "excessUtility": 0.5}, {"If-Match": f'"{version}"'})
    # With relays, a change of the settings is committed as a patch.
    change(site, "/api/relays", {"fan_out": 4})
    version = site.get_json("/api/agreed")["settings_version"]
    patched = {**new_settings, "excessUtility": PATCHED_UTILITY}
    change(site, "/api/settings", patched, {"If-Match": f'"{version}"'})
    change(site, "/api/members", {"kind": "add", "name": "n1", "address": site.free()})
    change(site, "/api/members", {"kind": "remove", "name": "n1"})
    change(site, f"/api/exclude/{RESTRICTED}")
    return {"settings_version": site.get_json("/api/agreed")["settings_version"]}


def write_keys(site):
    site.start(form=True)
    status, content = site.job(ANSWERED_KEY)
    assert status == 200, content
    open_job(site)
    return {"answer": content.decode()}


def write_recovery(site):
    site.discovery.generation = STORED_GENERATION
    site.worker(RESTRICTED).lifecycle = "draining"
    site.start()
    for _ in range(5):
        assert site.job()[0] == 200
    open_job(site)
    path = site.place / "recovery" / "recovery"
    # Learned values are written every two seconds, here after the launch in flight.
    wait_until(
        lambda: path.read_bytes().rfind(b"learned") > path.read_bytes().rfind(b"\xa3out") > 0, "all kept"
    )
    return {}


WRITE = {
    "agreement": write_agreement,
    "repeats": write_keys,
    "copies": write_keys,
    "recovery": write_recovery,
}


def write(kind):
    version = subprocess.run(
        ["git", "rev-parse", "HEAD"], capture_output=True, text=True, cwd=ROOT, check=True
    )
    with tempfile.TemporaryDirectory() as place:
        site = Site(place, kind)
        try:
            details = WRITE[kind](site)
            site.kill()
            shutil.rmtree(FOLDERS / kind, ignore_errors=True)
            for name in ("peers", "repeats", "recovery"):
                if (site.place / name).exists():
                    skipped = shutil.ignore_patterns("lock", "said", "taken")
                    shutil.copytree(site.place / name, FOLDERS / kind / name, ignore=skipped)
            written = {"commit": version.stdout.strip(), **details}
            (FOLDERS / kind / "written.json").write_text(json.dumps(written, indent=1) + "\n")
        finally:
            site.end()


if __name__ == "__main__":
    for kind in sys.argv[1:] or KINDS:
        write(kind)
