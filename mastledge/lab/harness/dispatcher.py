"""One dispatcher under test: its addresses, its folder and its process."""

import os
import subprocess
from dataclasses import dataclass

READY_TIMEOUT_S = 15.0  # in which all that was started has to be ready
LOOK = 0.02  # seconds between two looks at what is waited for


class RunFailedError(Exception):
    """The run could not be carried out to its end."""


@dataclass(slots=True)
class Dispatcher:
    """One dispatcher: its addresses (`host:port`), its folder, its process.

    `process` is None while none is to run; `late` says that it is added to the fleet during the run.
    """

    name: str
    folder: str
    listen: str
    control: str
    peers: str
    late: bool = False
    config: str = ""
    process: subprocess.Popen | None = None

    @property
    def log_path(self) -> str:
        """Where its processes write their log."""
        return os.path.join(self.folder, "log")

    def last_log_line(self) -> str:
        """Return the end of its log's last line, or that there is none."""
        with open(self.log_path, "rb") as file:
            lines = file.read().decode("utf-8", "replace").splitlines()
        return lines[-1][-300:] if lines else "no log"
