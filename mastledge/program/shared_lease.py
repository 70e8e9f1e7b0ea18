"""Two processes of one dispatcher while one takes over: one data directory, and one lease for both.

Who has the directory's lock is active: it speaks to the other dispatchers. The standby process goes by what
it reads in a small file, addressed to it alone, for as long as the lease in there lasts, and reports in
another file what it has applied. docs/consensus.md has the reasons, docs/formats.md the files.
"""

import contextlib
import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

FORMAT_VERSION = 1
NOTICE_FILE, REPORT_FILE = "said", "taken"
LEASE_GRANULARITY_US = 50_000  # a lease that lasts no longer than by this is no news


@dataclass(frozen=True, slots=True)
class LeaseNotice:
    """What the active process lends: the state as of entry `index`, and until when it may be acted on.

    `lease_until` is a monotonic time of this machine in microseconds, `to` the standby's process id.
    """

    to: int
    index: int
    lease_until: int
    state: dict[str, Any]


@dataclass(frozen=True, slots=True)
class StandbyReport:
    """The standby process, and the last entry that it has applied."""

    process: int
    index: int


class SharedLease:
    """The two files. What can't be read or written is as if it were not there: leases end by themselves."""

    def __init__(self, directory: str, log: Callable[..., None]) -> None:
        """The files in that directory, for this process; `log` takes an event and its fields."""
        self.directory, self.log, self.process = directory, log, os.getpid()
        self.published: tuple[int, int, int] | None = None  # of the last notice, what makes another one news

    # The active process

    def publish(self, notice: LeaseNotice) -> bool:
        """Lend the lease to the standby process; whether it can read of it."""
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
        """What the standby process has reported; None where there is none."""
        document = self._read(REPORT_FILE)
        if document is None or document["from"] == self.process:
            return None
        return StandbyReport(document["from"], document["index"])

    def withdraw(self) -> None:
        """No standby is there any more: the next one must not find what was lent to this one."""
        if self.published is not None:
            self.published = None
            self._remove(NOTICE_FILE)
            self._remove(REPORT_FILE)

    # The standby process

    def notice(self) -> LeaseNotice | None:
        """What was lent to this process last."""
        document = self._read(NOTICE_FILE)
        if document is None or document["to"] != self.process:
            return None
        return LeaseNotice(document["to"], document["index"], document["lease_until"], document["state"])

    def report(self, index: int) -> None:
        """Report that this process goes by the state as of that entry; 0 for none yet."""
        self._write(REPORT_FILE, {"index": index})

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    def _write(self, name: str, document: dict[str, Any]) -> bool:
        """Replaces a file as a whole."""
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
