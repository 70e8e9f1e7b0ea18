"""The processes of a scale run: how each is started, spoken to and ended."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from typing import Any

import msgspec

from mastledge.lab.scale import meter
from mastledge.lab.scale.meter_readings import MeterReading

ANSWER_TIMEOUT_SECONDS = 60.0  # in which a host says that it is there, and answers a line
TERMINATION_SECONDS = 6.0  # from SIGTERM to SIGKILL
MIN_WAIT_SECONDS = 0.1  # for each process to end, also after that time
POLL_SECONDS = 0.02
MAX_LINE_BYTES = 1 << 22  # that a host says
MAX_LOG_LINE = 300  # characters that are told of a log's last line


def write_json(path: str, content: dict | msgspec.Struct) -> str:
    """Writes one object into a file; its path."""
    with open(path, "wb") as file:
        file.write(msgspec.json.encode(content))
    return path


class HostSilentError(Exception):
    """A host of lightweight dispatchers or workers has ended, or has said nothing in its time."""


class Host:
    """A process that hosts many lightweight dispatchers or workers: it gets lines and answers with JSON."""

    def __init__(self, module: str, path: str) -> None:
        """`module` of this package, with its plan in the file at `path`."""
        self.command = [sys.executable, "-B", "-m", f"mastledge.lab.scale.{module}", path]
        self.process: asyncio.subprocess.Process | None = None
        self.lock = asyncio.Lock()

    async def begin(self) -> dict[str, Any]:
        """Starts it; what it says first. Raises HostSilentError."""
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
            limit=MAX_LINE_BYTES,
        )
        return await self.next_line()

    async def next_line(self) -> dict[str, Any]:
        """The next line that it says; raises HostSilentError where none comes in time."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise HostSilentError(
                f"a host of hollow ones has said nothing in {ANSWER_TIMEOUT_SECONDS:g} s"
            ) from None
        if not line:
            raise HostSilentError("a host of hollow ones has ended")
        return json.loads(line)

    async def ask(self, *words: str) -> dict[str, Any]:
        """What it answers to one line. Raises HostSilentError."""
        async with self.lock:
            self.say(json.dumps(words))
            await self.process.stdin.drain()
            return await self.next_line()

    def say(self, line: str) -> None:
        """Hands it a line, without waiting."""
        self.process.stdin.write(line.encode() + b"\n")

    def end(self) -> None:
        """Has it end, by the end of its standard input."""
        if self.process is not None and self.process.returncode is None:
            self.process.stdin.close()

    async def wait_ended(self, deadline: float) -> None:
        """Waits until it has ended; from the deadline (of time.monotonic) on it is killed."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(max(MIN_WAIT_SECONDS, deadline - time.monotonic())):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class DispatcherProcess:
    """A dispatcher as it is run, with the meter built in."""

    def __init__(self, name: str, folder: str, listen: str, control: str) -> None:
        """`listen` and `control` are its addresses for clients and operators."""
        self.name, self.folder, self.listen, self.control = name, folder, listen, control
        self.process: subprocess.Popen | None = None
        self.meter_path = os.path.join(folder, "meter.json")
        self.log_path = os.path.join(folder, "log")

    def start(self, configuration: dict[str, Any], link_regions: str) -> None:
        """Starts it; `link_regions` is the path of a file with these, "" for a dispatcher without peers."""
        path = write_json(os.path.join(self.folder, "config.json"), configuration)
        env = {
            **os.environ,
            "TMPDIR": os.path.join(self.folder, "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
            meter.FILE_VARIABLE: self.meter_path,
            meter.REGIONS_VARIABLE: link_regions,
        }
        command = [sys.executable, "-B", "-m", "mastledge.lab.builds", "--build", "metered"]
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [*command, "serve", "--log", "brief", "--config", path],
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=env,
                start_new_session=True,
            )

    def reading(self) -> MeterReading:
        """What its meter has written last."""
        with open(self.meter_path, "rb") as file:
            return msgspec.json.decode(file.read(), type=MeterReading)

    def resident_bytes(self) -> int:
        """Resident memory (proc_pid_statm(5), field 2)."""
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def descriptors(self) -> int:
        """Its open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def faults(self) -> int:
        """Lines of the log that tell of an error of the program itself."""
        with open(self.log_path, "rb") as file:
            return sum(b'"event":"internal_error"' in line for line in file)

    def last_line(self) -> str:
        """The end of the last line of its log."""
        with open(self.log_path, "rb") as file:
            lines = file.read().decode("utf-8", "replace").splitlines()
        return lines[-1][-MAX_LOG_LINE:] if lines else "no log"

    def end(self) -> None:
        """Has it end, by SIGTERM."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    async def wait_ended(self, deadline: float) -> None:
        """Waits until it has ended; from the deadline (of time.monotonic) on it is killed."""
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > deadline:
                self.process.kill()
                self.process.wait()
            await asyncio.sleep(POLL_SECONDS)


async def end_all(processes: Sequence[Host | DispatcherProcess]) -> None:
    """Ends all of them, by SIGKILL those that have not ended by themselves after a while."""
    for process in processes:
        process.end()
    deadline = time.monotonic() + TERMINATION_SECONDS
    for process in processes:
        await process.wait_ended(deadline)
