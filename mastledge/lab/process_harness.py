"""The rig: real processes of the program, relays on their links, stand-ins round them, and a record of all
that was seen.

Everything is on loopback, bounded in time, and ends with the run.
"""

import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field

import msgspec
import numpy

from mastledge.lab import outages
from mastledge.lab.link_proxy import LinkProxy
from mastledge.lab.load import Clients
from mastledge.lab.scenario import PROCESSES, ScenarioError
from mastledge.lab.stub_servers import Registry, Worker
from mastledge.lab.wire import call, now

MEMORY = "/dev/shm"
UP = 15.0  # seconds in which all that was started has to be ready
SETTLE = 15.0  # after the run, for all dispatchers to tell the same
LOOK = 0.02


class RunFailedError(Exception):
    """The run could not be carried out to its end."""


@dataclass
class Node:
    """One dispatcher: its addresses, its folder, its processes."""

    name: str
    folder: str
    listen: str = ""
    control: str = ""
    peers: str = ""
    config: str = ""
    process: object = None
    older: list = field(default_factory=list)
    late: bool = False


def document(told):
    """The settings of a scenario, as they stand in a configuration."""
    cold = told.workers.cold_ms
    return {
        "balancers": told.dispatchers,
        "me": 0,
        "stepMs": 4.0,
        "discovery": "pushed",
        "kinds": ["m"],
        "zones": ["a"],
        "familyInfo": {"tellsStart": True, "progressMs": 0},
        "limits": {"maxLaunches": 5, "cancel": True, "retryAfter": True, "maxRetryAfterMs": 1000.0},
        "rules": {
            "coldFrom": told.workers.cold_from,
            "coldMs": cold or 1.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": 1000.0,
        },
        "queueTypes": [
            {
                "name": one.name,
                "targetTurnaroundMs": one.target_ms,
                "walltimeMs": one.walltime_ms,
                "idempotency": one.effect,
            }
            for one in told.clients.queue_types
        ],
        **told.settings,
    }


def limits(told):
    """What the judge has to know of a scenario."""
    return {
        "grace": 1_000_000,
        "goals": msgspec.to_builtins(told.goals),
        "repeats": bool(told.repeats),
        "run_once": [one.name for one in told.clients.queue_types if one.effect == "side_effect"],
        "cold": {
            "span": 1_000_000,
            "multiple": document(told)["rules"]["fallMultiple"],
            "slots": told.workers.slots,
            "from": told.workers.cold_from,
            "for": int(told.workers.cold_ms * 1000),
        },
    }


class ProcessHarness:
    def __init__(self, scenario, seed, folder=None, show=None, program=None, disk=None):
        if scenario.dispatchers > PROCESSES:
            raise ScenarioError(
                f"dispatchers: {scenario.dispatchers}, over {PROCESSES} processes; emulate it"
            )
        self.disk = disk  # where keys are kept, if the disk is what is measured
        self.scenario, self.seed, self.show = scenario, seed, show
        self.given = folder
        # In memory where there is such a place: what others do to the disk must not decide a verdict.
        self.folder = tempfile.mkdtemp(prefix="mastledge-lab-", dir=MEMORY if os.path.isdir(MEMORY) else None)
        pid = os.getpid()
        self.host = f"127.{64 + (pid >> 16) % 64}.{pid >> 8 & 255}.{pid & 255}"
        self.events, self.spells, self.late, self.lag = [], [], 0.0, 0.0
        self.random = numpy.random.Generator(numpy.random.PCG64([seed, 3]))
        self.nodes, self.workers, self.relays, self.tasks = {}, {}, {}, set()
        self.program = program or [sys.executable, "-B", "-m", "mastledge"]
        self.reserved = []

    now = staticmethod(now)

    def note(self, kind, at=None, **fields):
        self.events.append({"at": at or now(), "kind": kind, **fields})

    def say(self, text):
        if self.show is not None:
            self.show(
                f"{(now() - self.began) / 1e6:6.2f} s  {text}"
                if hasattr(self, "began")
                else f"          {text}"
            )

    # What is started

    def free(self):
        """An address that nobody listens at. It stays bound here, or a relay could get the port next."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self.host, 0))
        self.reserved.append(sock)
        return f"{self.host}:{sock.getsockname()[1]}"

    async def build(self):
        told = self.scenario
        for n in range(told.workers.count):
            self.workers[f"w{n}"] = await Worker(self, f"w{n}", told.workers, self.random).begin()
        self.registry = Registry(self, self.workers)
        names = [f"n{n}" for n in range(told.dispatchers)]
        late = [step.who for step in told.steps if step.fault == "add"]
        for name in [*names, *(name for name in late if name not in names)]:
            folder = os.path.join(self.folder, name)
            os.makedirs(os.path.join(folder, "tmp"), exist_ok=True)
            self.nodes[name] = Node(name, folder, self.free(), self.free(), self.free(), late=name in late)
        for one in self.nodes:
            for other in self.nodes:
                if one != other:
                    self.relays[one, other] = await LinkProxy(self.host, self.nodes[other].peers).begin()
        for node in self.nodes.values():
            await self.registry.agent(node.name)
            self.configure(node)

    def members(self, node):
        """As this dispatcher sees the others: each behind a relay of its own."""
        return {
            name: other.peers if name == node.name else self.relays[node.name, name].address
            for name, other in self.nodes.items()
            if not other.late or name == node.name
        }

    def configure(self, node, **changed):
        n = list(self.nodes).index(node.name)
        told = {
            "name": node.name,
            "listen": node.listen,
            "control": node.control,
            "discovery": self.registry.agents[node.name].address,
            "seed": f"{self.seed * 64 + n:x}",
            "settings": {**document(self.scenario), "me": n},
            "limits": {"sockets": 512, "memory_mb": 128},
        }
        if self.scenario.agree:
            told["peers"] = {
                "listen": node.peers,
                "members": self.members(node),
                "form": self.scenario.form,
                "folder": os.path.join(node.folder, "kept"),
                "lease_ms": self.scenario.lease_ms,
                "without_lease": self.scenario.without_lease,
                "registry": "lab",
            }
        if self.scenario.repeats:
            kept = os.path.join(self.disk, node.name) if self.disk else os.path.join(node.folder, "repeats")
            told["repeats"] = {"folder": kept, **self.scenario.repeats}
        if self.scenario.recovery:
            told["recovery"] = {"folder": os.path.join(node.folder, "recovery"), **self.scenario.recovery}
        node.config = os.path.join(node.folder, "config.json")
        with open(node.config, "w") as file:
            json.dump({**told, **changed}, file, indent=1)

    def start(self, node):
        env = {**os.environ, "TMPDIR": os.path.join(node.folder, "tmp"), "PYTHONDONTWRITEBYTECODE": "1"}
        program = self.program
        build = self.scenario.builds.get(node.name, "")
        rate, ahead = self.scenario.rates.get(node.name, 1.0), self.scenario.ahead.get(node.name, 0.0)
        if build or rate != 1.0 or ahead:
            program = [
                sys.executable,
                "-B",
                "-m",
                "mastledge.lab.build_variants",
                "--rate",
                str(rate),
                "--ahead",
                str(ahead),
                *(["--build", build] if build else []),
            ]
        with open(os.path.join(node.folder, "log"), "ab") as log:
            node.process = subprocess.Popen(
                [*program, "serve", "--config", node.config], stderr=log, env=env, stdin=subprocess.DEVNULL
            )
        self.note("started", who=node.name, pid=node.process.pid)

    async def until(self, holds, seconds, what):
        last = time.monotonic() + seconds
        while not await holds():
            if time.monotonic() > last:
                raise RunFailedError(what)
            await asyncio.sleep(LOOK)

    async def ready(self, node):
        status, _, _ = await call(node.control, "GET", "/api/ready")
        if node.process.poll() is not None:
            raise RunFailedError(f"{node.name} ended with {node.process.returncode}: {self.tail(node)}")
        return status == 200

    def tail(self, node):
        with open(os.path.join(node.folder, "log"), "rb") as file:
            lines = file.read().decode("utf-8", "replace").splitlines()
        return lines[-1][-300:] if lines else "no log"

    # The run

    async def run(self):
        """Plays the scenario; the record, marked incomplete where it was cut off."""
        whole, why = False, ""
        try:
            await self.build()
            for node in self.nodes.values():
                if not node.late:
                    self.start(node)
            for node in list(self.nodes.values()):
                if not node.late:
                    await self.until(
                        lambda node=node: self.ready(node), UP, f"{node.name} is not ready in {UP:.0f} s"
                    )
            await self.play()
            whole = True
        except RunFailedError as error:
            why = str(error)
        except (asyncio.CancelledError, KeyboardInterrupt):
            why = "cut off"
        finally:
            await self.end()
        return self.record(whole, why)

    async def play(self):
        told, self.began = self.scenario, now()
        self.say(f"{told.dispatchers} dispatchers and {told.workers.count} workers are ready")
        self.note("began")
        clients = Clients(self, told.clients, self.seed, told.seconds)
        watch = [asyncio.create_task(clients.front.look()), asyncio.create_task(self.pulse())]
        if self.show is not None:
            watch.append(asyncio.create_task(self.tell()))
        await asyncio.sleep(0.25)
        self.began = now()
        steps = [asyncio.create_task(self.step(step)) for step in told.steps]
        load = asyncio.create_task(clients.run(self.began))
        try:
            for step in steps:
                await step
            rest = self.began / 1e6 + told.seconds - time.monotonic()
            await asyncio.sleep(max(0, rest))
            async with asyncio.timeout(30):
                await load
            if told.agree:
                await self.settle()
        except TimeoutError:
            raise RunFailedError("clients did not come to an end") from None
        finally:
            for task in (*watch, *steps, load):
                task.cancel()
            await asyncio.gather(*watch, *steps, load, return_exceptions=True)

    async def pulse(self):
        """How late this very process runs: what it says of milliseconds is no better than that."""
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag = max(self.lag, time.monotonic() - at - 0.01)

    async def tell(self):
        """What is served and in force, as it goes."""
        seen = 0
        while True:
            await asyncio.sleep(1.0)
            fresh, seen = self.events[seen:], len(self.events)
            answers = [event["status"] for event in fresh if event["kind"] == "answer"]
            lost = sum(event["kind"] == "lost" for event in fresh)
            states = [(name, *await self.agreed(node)) for name, node in self.nodes.items() if node.process]
            versions = ", ".join(
                f"{name} {told['version'] if status == 200 else 'gone'}"
                f"{'' if status != 200 or told['lease_left_ms'] else ' (no lease)'}"
                f"{' leads' if status == 200 and told['leads'] else ''}"
                for name, status, told in states
            )
            self.say(
                f"served {answers.count(200):4d}, rejected {answers.count(503):3d}, "
                f"killed {answers.count(500):3d}, lost {lost}; version in force at {versions}"
            )

    async def agreed(self, node, seconds=0.5):
        status, _, text = await call(node.control, "GET", "/api/agreed", seconds=seconds)
        return status, (json.loads(text) if status == 200 else {})

    async def settle(self):
        """Waits until all that runs tells one version in force, then writes down what each tells."""
        there = [node for node in self.nodes.values() if node.process is not None]

        async def same():
            told = [await self.agreed(node) for node in there]
            members = [
                node
                for node, (status, one) in zip(there, told, strict=True)
                if status == 200 and node.name in one["members"]
            ]
            told = [one for node, (status, one) in zip(there, told, strict=True) if node in members]
            self.there = members
            return (
                bool(told)
                and len(members) >= self.expected
                and (
                    len({(one["version"], one["in_force"], bool(one["lease_left_ms"])) for one in told}) == 1
                    and told[0]["in_force"]
                )
            )

        self.expected = len(there) - self.removed
        try:
            await self.until(same, SETTLE, "")
        except RunFailedError:
            self.note("unsettled")
        for node in self.there:
            status, told = await self.agreed(node, 2.0)
            self.note("state", who=node.name, status=status, told=told)
            status, _, text = await call(node.control, "GET", "/api/history")
            if status == 200:
                self.note("history", who=node.name, history=json.loads(text)["history"])

    snapshot = b""
    removed, there, expected, expected_ends = 0, (), 0, ()

    async def end(self):
        for node in self.nodes.values():
            for process in (*node.older, *([node.process] if node.process else [])):
                if process.poll() is not None and process not in self.expected_ends:
                    self.note("crashed", who=node.name, status=process.returncode)
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.terminate()
        last = time.monotonic() + 6
        for node in self.nodes.values():
            for process in (*node.older, *([node.process] if node.process else [])):
                while process.poll() is None:
                    if time.monotonic() > last:
                        process.kill()
                    await asyncio.sleep(LOOK)
                self.note("exited", who=node.name, pid=process.pid, status=process.returncode)
        for one in (*self.workers.values(), *self.relays.values()):
            if one.server:
                one.server.close()
        for sock in self.reserved:
            sock.close()

    def record(self, whole, why):
        told = self.scenario
        record = {
            "scenario": told.name,
            "seed": self.seed,
            "complete": whole,
            "why": why,
            **limits(told),
            "spells": self.spells,
            "late_ms": round(self.late * 1000, 1),
            "lag_ms": round(self.lag * 1000, 1),
            "events": sorted(self.events, key=lambda event: event["at"]),
        }
        if self.given:
            shutil.copytree(self.folder, self.given, dirs_exist_ok=True, ignore=shutil.ignore_patterns("tmp"))
            with open(os.path.join(self.given, "record.json"), "w") as file:
                json.dump(record, file)
        shutil.rmtree(self.folder, ignore_errors=True)
        return record

    # What befalls it

    async def step(self, step):
        await asyncio.sleep(max(0, self.began / 1e6 + step.at - time.monotonic()))
        if step.call:
            await self.ask(step)
            return
        spell = {"who": step.who, "fault": step.fault, "from": now(), "to": float("inf")}
        self.spells.append(spell)
        self.say(
            f"{step.fault} {step.who or step.worker}"
            + (f" to {step.to}" if step.to else "")
            + (f" for {step.seconds:g} s" if step.seconds else "")
        )
        await getattr(self, "do_" + step.fault)(step)
        spell["to"] = now()

    async def ask(self, step):
        node, began = self.nodes[step.who], now()
        headers, content, method = [], b"", "POST"
        if step.call in ("exclude", "include"):
            path = f"/api/{step.call}/{step.worker}"
        elif step.call == "settings":
            path = "/api/settings"
            status, fields, text = await call(node.control, "GET", path)
            document = {**json.loads(text), **step.change} if status == 200 else step.change
            headers, content = (
                [("if-match", fields.get(b"etag", b'"0"').decode())],
                json.dumps(document).encode(),
            )
        elif step.call == "members":
            change = dict(step.change)
            if change.get("kind") == "add":
                # It is there for all under its own address; relays stand before those of the start only.
                change["address"] = self.nodes[change["name"]].peers
            path, content = "/api/members", json.dumps(change).encode()
            self.removed += step.change.get("kind") == "remove"
        elif step.call == "copies":
            path, content = "/api/copies", json.dumps({"count": int(step.amount)}).encode()
        elif step.call == "snapshot":
            method, path = "GET", "/api/snapshot"
        elif step.call in ("restore", "accept_loss", "desert"):
            path = "/api/restore"
            content = self.snapshot if step.call == "restore" else step.call.replace("_", "-").encode()
        else:
            path = f"/api/{step.call}"
        status, fields, text = await call(node.control, method, path, content, headers)
        if step.call == "snapshot":
            self.snapshot, text = text.encode(), f"{len(text)} bytes"
        in_force = int(fields.get(b"in-force-in-ms", b"0"))
        version = int(fields.get(b"etag", b"0").strip(b'"') or 0)
        self.note(
            "call",
            began=began,
            call=step.call,
            who=step.who,
            worker=step.worker,
            status=status,
            text=text.strip(),
            in_force_in=in_force,
            version=version,
        )
        self.say(f"{step.call} {step.worker} at {step.who}: {status} {text.strip()}")

    async def back(self, node):
        """Up again and ready, or killed once more by a later fault; else the run can't go on."""
        self.start(node)
        process = node.process

        async def there():
            try:
                return process.poll() == -signal.SIGKILL or await self.ready(node)
            except RunFailedError:
                # Killed while it was asked.
                if process.poll() == -signal.SIGKILL:
                    return True
                raise

        await self.until(
            there, UP, f"{node.name} is not ready {UP:.0f} s after its restart: {self.tail(node)}"
        )

    def links(self, step, forth=True, back=True):
        """The relays of who, both ways or one, to all or to one."""
        others = [step.to] if step.to else [name for name in self.nodes if name != step.who]
        out = [self.relays[step.who, other] for other in others] if forth else []
        return out + ([self.relays[other, step.who] for other in others] if back else [])

    async def spell(self, relays, seconds):
        await asyncio.sleep(seconds)
        for relay in relays:
            relay.heal()

    def killed(self, node, how=signal.SIGKILL):
        node.process.send_signal(how)
        node.process.wait()  # a kill takes no time worth the name
        self.note("exited", who=node.name, pid=node.process.pid, status=node.process.returncode)

    async def do_kill(self, step):
        node = self.nodes[step.who]
        self.killed(node)
        if step.build:
            self.scenario.builds[step.who] = "" if step.build == "none" else step.build
        if not step.seconds:
            node.process = None
            return
        await asyncio.sleep(step.seconds)
        if step.build and step.build != "none":
            self.start(node)  # a wrong build need not become ready
        else:
            await self.back(node)

    async def do_all(self, step):
        """Power is lost everywhere at once, and comes back in the same moment."""
        nodes = [node for node in self.nodes.values() if node.process is not None]
        spells = [{"who": node.name, "fault": "kill", "from": now(), "to": float("inf")} for node in nodes]
        self.spells += spells
        for node in nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in nodes:
            self.killed(node)
        await asyncio.sleep(step.seconds)
        await asyncio.gather(*(self.back(node) for node in nodes))
        self.note("all_up")
        for spell in spells:
            spell["to"] = now()

    async def do_term(self, step):
        node = self.nodes[step.who]
        node.process.terminate()
        while node.process.poll() is None:
            await asyncio.sleep(LOOK)
        if node.process.returncode:
            self.note("crashed", who=node.name, status=node.process.returncode)
        await asyncio.sleep(step.seconds)
        await self.back(node)

    async def do_stop(self, step):
        node = self.nodes[step.who]
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(step.seconds)
        node.process.send_signal(signal.SIGCONT)
        self.note("continued", who=step.who)

    def kept(self, node):
        return os.path.join(node.folder, "kept")

    def emptied(self, node):
        for folder in self.folders(node):
            shutil.rmtree(folder, ignore_errors=True)

    def folders(self, node):
        """All that a dispatcher has on its disk: what is agreed, and keys where it keeps them."""
        parts = ["kept", *(name for name in ("repeats", "recovery") if getattr(self.scenario, name))]
        return [os.path.join(node.folder, name) for name in parts]

    async def do_wipe(self, step):
        node = self.nodes[step.who]
        self.killed(node)
        self.emptied(node)
        await asyncio.sleep(step.seconds)
        await self.back(node)

    async def do_lose(self, step):
        """A machine is lost with its disk, and nobody starts another until `start`, if ever."""
        node = self.nodes[step.who]
        self.killed(node)
        node.process = None
        self.emptied(node)

    async def do_start(self, step):
        """Ready again or not, which the fleet decides."""
        self.start(self.nodes[step.who])

    async def whole(self):
        """Each dispatcher takes part in the copies, and no key waits for a further one."""
        for node in self.nodes.values():
            status, _, text = await call(node.control, "GET", "/api/copies")
            if status != 200 or not (told := json.loads(text))["takes_part"] or told["moving_to"]:
                return False
        return True

    async def do_losses(self, step):
        """Machines lost with their disks, one after the other, each once the copies are whole again.

        Whom and when is drawn from the seed.
        """
        names = list(self.nodes)
        for n in range(int(step.amount)):
            await self.until(self.whole, UP, f"copies are not whole {UP:.0f} s after {n} losses")
            await asyncio.sleep(0.4 * self.random.random())
            node = self.nodes[names[int(self.random.integers(len(names)))]]
            spell = {"who": node.name, "fault": "wipe", "from": now(), "to": float("inf")}
            self.spells.append(spell)
            self.killed(node)
            self.emptied(node)
            await self.back(node)
            spell["to"] = now()
            self.note("machine_lost", who=node.name)

    async def do_outages(self, step):
        """Most dispatchers killed at once, again and again, with more that goes wrong beside it."""
        for n in range(int(step.amount)):
            await outages.befall(self, outages.drawn(self.random, self.nodes, self.workers), n)
            await asyncio.sleep(step.seconds)
            if self.scenario.repeats:
                await self.until(self.whole, UP, f"copies are not whole {UP:.0f} s after outage {n}")

    async def do_save(self, step):
        """A copy of the folder as it is, of a process that runs; `put_back` brings it again."""
        node = self.nodes[step.who]
        for folder in self.folders(node):
            shutil.copytree(folder, folder + ".saved", dirs_exist_ok=True)

    async def do_put_back(self, step):
        node = self.nodes[step.who]
        self.killed(node)
        for folder in self.folders(node):
            shutil.rmtree(folder)
            shutil.copytree(folder + ".saved", folder)
        await asyncio.sleep(step.seconds)
        await self.back(node)

    async def do_clone(self, step):
        """The folder of another member under this one's name: it has to say so and not serve."""
        node = self.nodes[step.who]
        self.killed(node)
        mine = self.kept(node) + ".mine"
        os.rename(self.kept(node), mine)
        shutil.copytree(self.kept(self.nodes[step.to]), self.kept(node))
        self.start(node)
        while node.process.poll() is None:
            await asyncio.sleep(LOOK)
        self.note("refused", who=step.who, status=node.process.returncode, text=self.tail(node))
        shutil.rmtree(self.kept(node))
        os.rename(mine, self.kept(node))
        await self.back(node)

    async def do_full(self, step):
        """No file of this process grows any more."""
        pid = self.nodes[step.who].process.pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        await asyncio.sleep(step.seconds)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))

    async def do_tear(self, step):
        """Killed in the midst of a write: the last record is cut."""
        node = self.nodes[step.who]
        self.killed(node)
        path = (
            os.path.join(self.kept(node), "agreement")
            if self.scenario.agree
            else os.path.join(node.folder, "repeats", "repeats")
        )
        with open(path, "ab") as file:
            file.write(b"\xa5frm\x00\x00\x01\x00half")
        await self.back(node)

    async def do_spoil_file(self, step):
        """A bit in the midst of the journal: the start has to be refused in one line."""
        node = self.nodes[step.who]
        self.killed(node)
        path = (
            os.path.join(self.kept(node), "agreement")
            if self.scenario.agree
            else os.path.join(node.folder, "repeats", "repeats")
        )
        with open(path, "rb") as file:
            raw = file.read()
        at = len(raw) // 2
        with open(path, "wb") as file:
            file.write(raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :])
        self.start(node)
        while node.process.poll() is None:
            await asyncio.sleep(LOOK)
        self.note("refused", who=step.who, status=node.process.returncode, text=self.tail(node))
        shutil.rmtree(self.kept(node))
        await self.back(node)

    async def do_cut(self, step):
        relays = self.links(step)
        for relay in relays:
            relay.forth = relay.back = False
        await self.spell(relays, step.seconds)

    async def do_cut_one_way(self, step):
        """What `who` says gets nowhere; what it is told still comes."""
        forth, back = self.links(step, back=False), self.links(step, forth=False)
        for relay in forth:
            relay.forth = False
        for relay in back:
            relay.back = False
        await self.spell([*forth, *back], step.seconds)

    async def do_delay(self, step):
        relays = self.links(step)
        for relay in relays:
            relay.delay = step.amount / 1000
        await self.spell(relays, step.seconds)

    async def do_drip(self, step):
        relays = self.links(step)
        for relay in relays:
            relay.rate = step.amount
        await self.spell(relays, step.seconds)

    async def do_reset(self, step):
        relays = self.links(step)
        last = now() + step.seconds * 1e6
        while now() < last:
            for relay in relays:
                relay.reset()
            await asyncio.sleep(0.1)

    async def do_half_open(self, step):
        """Open, and what goes in never comes out; whole again only by another connection."""
        relays = self.links(step)
        for relay in relays:
            relay.swallows = True
        await self.spell(relays, step.seconds)

    async def do_spoil(self, step):
        relays = self.links(step)
        last = now() + step.seconds * 1e6
        while now() < last:
            for relay in relays:
                relay.spoils = 1
            await asyncio.sleep(0.2)
        for relay in relays:
            relay.heal()

    async def do_garbage(self, step):
        """Strangers on the peers' port: nonsense, a frame too large, one byte a second, and silence."""
        where = self.nodes[step.who].peers
        host, port = where.rsplit(":", 1)
        writers = []
        for n in range(int(step.amount) or 60):
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                continue
            writer.write([b"\x00\x00\x00\x08nonsense", b"\xff\xff\xff\xff", b"\x00", b""][n % 4])
            writers.append(writer)
        await asyncio.sleep(step.seconds or 1)
        for writer in writers:
            writer.close()

    async def do_list_late(self, step):
        self.registry.agents[step.who].late = step.amount
        await asyncio.sleep(step.seconds)
        self.registry.agents[step.who].late = 0.0

    async def do_list_silent(self, step):
        self.registry.agents[step.who].silent = True
        await asyncio.sleep(step.seconds)
        self.registry.agents[step.who].silent = False

    async def do_list_down(self, step):
        for agent in self.registry.agents.values():
            agent.silent = True
        await asyncio.sleep(step.seconds)
        for agent in self.registry.agents.values():
            agent.silent = False

    async def do_list_old(self, step):
        """Discovery comes back without its last changes, and finds them again later."""
        self.registry.forget(int(step.amount))
        await asyncio.sleep(step.seconds)
        self.registry.lost = 0

    async def do_list_empty(self, step):
        self.registry.reset(True)
        await asyncio.sleep(step.seconds)
        self.registry.reset(False)

    async def do_worker(self, step):
        self.workers[step.worker].troubles.add(now(), step)
        await asyncio.sleep(step.seconds)

    async def do_drain(self, step):
        self.registry.change(step.worker, "draining")

    async def do_ready(self, step):
        self.registry.change(step.worker, "ready")

    async def do_gone(self, step):
        self.registry.change(step.worker, "gone")

    async def do_restart(self, step):
        await self.workers[step.worker].restart()
        self.note("reborn", worker=step.worker)
        self.registry.change(step.worker, "ready")

    async def do_add(self, step):
        """A further dispatcher, whom the members have been told of by a call."""
        node = self.nodes[step.who]
        self.configure(node)
        await self.back(node)

    async def do_upgrade(self, step):
        """A new process beside the old one, which is told to end once the new one is ready."""
        node = self.nodes[step.who]
        old, was = node.process, node.control
        node.control = self.free()
        self.configure(node)
        self.start(node)
        await self.until(
            lambda: self.ready(node), 6.0, f"the new {node.name} is not ready in 6 s: {self.tail(node)}"
        )
        old.terminate()
        last = time.monotonic() + 5
        while old.poll() is None:
            if time.monotonic() > last:
                raise RunFailedError(f"the old {node.name} at {was} does not end")
            await asyncio.sleep(LOOK)
        if old.returncode:
            self.note("crashed", who=node.name, status=old.returncode)
