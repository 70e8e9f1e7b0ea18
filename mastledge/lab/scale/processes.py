"""The processes of a scale run: how each is started, spoken to and ended."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time

from mastledge.lab.scale import meter

ANSWERS = 60.0  # seconds in which a host says that it is there, and answers a line
ENDS = 6.0  # seconds from SIGTERM to SIGKILL


def write_json(path, told):
    with open(path, "w") as file:
        json.dump(told, file)
    return path


class HostSilent(Exception):
    """A host of hollow ones ended, or has said nothing in its time."""


class Host:
    """A process that hosts many hollow ones: it gets JSON lines and answers with such."""

    def __init__(self, module, path):
        self.command = [sys.executable, "-B", "-m", f"mastledge.lab.scale.{module}", path]
        self.process, self.lock = None, asyncio.Lock()

    async def begin(self):
        """Starts it; what it says first."""
        self.process = await asyncio.create_subprocess_exec(
            *self.command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            start_new_session=True,
            limit=1 << 22,
        )
        return await self.heard()

    async def heard(self):
        """The next line that it says; HostSilent where none comes."""
        try:
            async with asyncio.timeout(ANSWERS):
                line = await self.process.stdout.readline()
        except TimeoutError:
            raise HostSilent(f"a host of hollow ones has said nothing in {ANSWERS:g} s") from None
        if not line:
            raise HostSilent("a host of hollow ones has ended")
        return json.loads(line)

    async def ask(self, *words):
        """What it answers to one line."""
        async with self.lock:
            self.say(json.dumps(words))
            await self.process.stdin.drain()
            return await self.heard()

    def say(self, line):
        self.process.stdin.write(line.encode() + b"\n")

    def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.stdin.close()

    async def gone(self, last):
        if self.process is None:
            return
        try:
            async with asyncio.timeout(max(0.1, last - time.monotonic())):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Real:
    """A dispatcher as it is run, with the meter built in."""

    def __init__(self, name, folder, listen, control):
        self.name, self.folder, self.listen, self.control = name, folder, listen, control
        self.process, self.meter = None, os.path.join(folder, "meter.json")

    def start(self, configuration, scale):
        path = write_json(os.path.join(self.folder, "config.json"), configuration)
        env = {
            **os.environ,
            "TMPDIR": os.path.join(self.folder, "tmp"),
            "PYTHONDONTWRITEBYTECODE": "1",
            meter.FILE: self.meter,
            meter.SCALE: scale,
        }
        command = [sys.executable, "-B", "-m", "mastledge.lab.build_variants", "--build", "metered"]
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                [*command, "serve", "--log", "brief", "--config", path],
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=env,
                start_new_session=True,
            )

    def counts(self):
        with open(self.meter) as file:
            return json.load(file)

    def resident_bytes(self):
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def faults(self):
        """Lines of the log that tell of an error of the program itself."""
        with open(os.path.join(self.folder, "log"), "rb") as file:
            return sum(b'"event":"internal_error"' in line for line in file)

    def last_line(self):
        with open(os.path.join(self.folder, "log"), "rb") as file:
            lines = file.read().decode("utf-8", "replace").splitlines()
        return lines[-1][-300:] if lines else "no log"

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    async def gone(self, last):
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > last:
                self.process.kill()
                self.process.wait()
            await asyncio.sleep(0.02)


async def end_all(processes):
    """Ends all of them, those that do not end by themselves after a while."""
    for one in processes:
        one.end()
    last = time.monotonic() + ENDS
    for one in processes:
        await one.gone(last)
