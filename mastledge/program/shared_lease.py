"""The files by which two processes of one dispatcher share its lease during an upgrade.

The active process holds the lock of the data directory and talks to the other dispatchers. It writes a notice
to the standby process. The standby process acts on the notice until the lease ends, and reports in another
file the last entry that it has applied. See docs/consensus.md for the reasons and docs/formats.md for the
files.
"""

import contextlib
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

FORMAT_VERSION = 1
NOTICE_FILE, REPORT_FILE = "said", "taken"
LEASE_GRANULARITY_US = 50_000  # a notice whose lease ends in the same step is not written again


@dataclass(frozen=True, slots=True)
class LeaseNotice:
    """The active process's notice: the state at entry `index`, and until when the standby may act on it.

    `lease_until` is in microseconds of this machine's monotonic clock; `to` is the standby's process id.
    """

    to: int
    index: int
    lease_until: int
    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StandbyReport:
    """The process id of the standby process and the index of the last entry that it has applied."""

    process: int
    index: int


class SharedLease:
    """The notice and report files. A file that can't be read or written counts as absent: leases expire."""

    def __init__(self, directory: str, log: Callable[..., None]) -> None:
        """Use the files in `directory`; `log` takes an event and its fields."""
        self.directory, self.log, self.process = directory, log, os.getpid()
        # Recipient, index and rounded lease end of the last notice; an equal notice is not written again.
        self.published: tuple[int, int, int] | None = None

    # The active process

    def publish(self, notice: LeaseNotice) -> bool:
        """Lend the lease to the standby process; return False if the notice can't be written."""
        published = (notice.to, notice.index, notice.lease_until // LEASE_GRANULARITY_US)
        if published == self.published:
            return True
        document = {
            "to": notice.to,
            "index": notice.index,
            "lease_until": notice.lease_until,
            "state": notice.state,
        }
        if not self._write(NOTICE_FILE, document):
            return False
        self.published = published
        return True

    def standby_report(self) -> StandbyReport | None:
        """Return the standby process's report; None if there is none."""
        document = self._read(REPORT_FILE)
        if document is None or document["from"] == self.process:
            return None
        return StandbyReport(document["from"], document["index"])

    def withdraw(self) -> None:
        """Remove the files once the standby has gone, so that the next standby does not find them."""
        if self.published is not None:
            self.published = None
            self._remove(NOTICE_FILE)
            self._remove(REPORT_FILE)

    # The standby process

    def notice(self) -> LeaseNotice | None:
        """Return the last notice to this process; None if there is none."""
        document = self._read(NOTICE_FILE)
        if document is None or document["to"] != self.process:
            return None
        return LeaseNotice(document["to"], document["index"], document["lease_until"], document["state"])

    def report(self, index: int) -> None:
        """Report that this process has applied the state at entry `index`; 0 for none yet."""
        self._write(REPORT_FILE, {"index": index})

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    def _write(self, name: str, document: dict[str, Any]) -> bool:
        """Replace a file atomically; return False, with a log line, if that fails."""
        replacement = self._path(f"{name}.{self.process}")
        content = orjson.dumps({"format": FORMAT_VERSION, "from": self.process, **document})
        try:
            with open(replacement, "wb") as file:
                file.write(content)
            os.replace(replacement, self._path(name))
        except OSError as error:
            self.log("shared_lease_unwritten", why=str(error))
            return False
        return True

    def _read(self, name: str) -> dict[str, Any] | None:
        try:
            with open(self._path(name), "rb") as file:
                document = orjson.loads(file.read())
        except (OSError, ValueError):
            return None
        if not isinstance(document, dict) or document.get("format") != FORMAT_VERSION:
            return None
        return document

    def _remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            os.unlink(self._path(name))
