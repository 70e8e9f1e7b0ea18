"""A scale run from start to end, and the figures that it leaves."""

import asyncio
import json
import os
import shutil
import signal
import tempfile
import time

import numpy
import orjson

from mastledge.lab.load import Clients
from mastledge.lab.scale import meter, topology
from mastledge.lab.scale.discovery import Events, ScaleDiscovery
from mastledge.lab.scale.options import HOLLOW_A_PROCESS, WORKERS_A_PROCESS
from mastledge.lab.scale.processes import Host, HostSilent, Real, end_all, write_json
from mastledge.lab.scenario import Clients as Load
from mastledge.lab.scenario import QueueType
from mastledge.lab.wire import call

MEMORY = "/dev/shm"
READY = 60.0  # seconds in which all have to be ready
LOOK = 0.02  # seconds between two looks at a process
CALL = 3.0  # seconds that a call of an operator has
ELECTION = 20.0  # seconds in which another leader has to be there
SOCKETS = 8192
MEMORY_MB = 256
SLOTS, RUN_MS, COLD_MS = 8, (10, 40), 5000.0
FORMAT = 1


class Failed(Exception):
    """The run could not be carried out to its end."""


class ScaleRun:
    """`options` have been checked. `run()` gives the figures, marked incomplete where it was cut off."""

    def __init__(self, options, show=None):
        self.options, self.show = options, show
        self.folder = tempfile.mkdtemp(
            prefix="mastledge-scale-", dir=MEMORY if os.path.isdir(MEMORY) else None
        )
        self.fleet = topology.dispatchers(options, os.getpid())
        self.settings = topology.settings(options)
        self.nodes, self.hollow, self.workers = {}, [], []
        self.discovery = self.empty = self.idle = None
        self.figures, self.counts, self.in_force, self.late = {}, {}, [], 0.0
        self.statuses, self.lag, self.outcomes, self.times = {}, 0.0, {}, []

    # What the clients need of a rig

    def note(self, kind, at=None, **fields):
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if kind == "answer":
            status = fields["status"]
            self.outcomes[status] = self.outcomes.get(status, 0) + 1
            if status == 200:
                self.times.append(fields["ms"])

    def say(self, text):
        if self.show is not None:
            self.show(text)

    # The run

    async def run(self):
        why, tasks = "", []
        loop, this = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            await self.start()
            tasks = [asyncio.create_task(self.pulse())]
            await self.measure()
            if self.options.kill_leader:
                await self.replace_leader()
        except (Failed, HostSilent) as error:
            why = str(error)
        except (asyncio.CancelledError, KeyboardInterrupt):
            why = "cut off"
            this.uncancel()
        finally:
            for task in tasks:
                task.cancel()
            await self.end()
        return {
            "format": FORMAT,
            "complete": not why,
            "why": why,
            "options": self.options.as_dict(),
            **self.figures,
        }

    async def end(self):
        everything = [*self.nodes.values(), *self.hollow, *self.workers]
        await end_all([*everything, self.idle] if self.idle is not None else everything)
        for discovery in (self.discovery, self.empty):
            if discovery is not None:
                discovery.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def pulse(self):
        """How late this very process runs: what it says of milliseconds is no better than that."""
        while True:
            at = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag = max(self.lag, time.monotonic() - at - 0.01)

    # What is started

    async def start(self):
        await self.start_workers()
        host = self.fleet[0].host
        self.empty = await ScaleDiscovery({}, 1).begin(host)
        state = topology.first_state(
            self.options, self.fleet, {k: v for k, v in self.settings.items() if k not in ("me", "locality")}
        )
        scale = write_json(
            os.path.join(self.folder, "scale.json"),
            {
                "regions": {one.name: one.region for one in self.fleet},
                "round_trip": int(self.options.round_trip_ms * 1000),
            },
        )
        began = time.monotonic()
        self.start_real(state, scale)
        await self.start_hollow(state, scale)
        self.start_idle(scale)
        for node in self.nodes.values():
            await self.until(lambda node=node: self.is_ready(node), READY, f"{node.name} is not ready")
        self.figures["ready_s"] = round(time.monotonic() - began, 2)
        await self.real_leader()
        await self.until(self.in_force_everywhere, READY, "nothing comes into force")
        self.say(
            f"{len(self.fleet)} dispatchers, {len(self.nodes)} of them real, and "
            f"{self.options.workers} workers are ready"
        )

    async def start_workers(self):
        names = [f"w{number:04}" for number in range(self.options.workers)]
        addresses = {}
        for number in range(self.options.worker_processes):
            some = names[number * WORKERS_A_PROCESS : (number + 1) * WORKERS_A_PROCESS]
            told = {
                "names": some,
                "host": f"127.{topology.FIRST_WORKER_NETWORK + number}.{os.getpid() >> 8 & 255}."
                f"{os.getpid() & 255}",
                "seed": self.options.seed + number,
                "slots": SLOTS,
                "run_ms": RUN_MS,
                "cold_ms": COLD_MS,
            }
            path = write_json(os.path.join(self.folder, f"workers-{number}.json"), told)
            self.workers.append(Host("lightweight_workers", path))
            addresses.update(await self.workers[-1].begin())
        self.discovery = await ScaleDiscovery(addresses, self.options.zones).begin(self.fleet[0].host)

    async def restart_worker(self, name):
        told = await self.workers[int(name[1:5]) // WORKERS_A_PROCESS].ask("restart", name)
        return told[name]

    def start_real(self, state, scale):
        for one in self.fleet:
            if not one.real:
                continue
            folder = topology.folder_of(self.folder, one)
            topology.write_folder(one, os.path.join(folder, "peers"), state)
            node = self.nodes[one.name] = Real(one.name, folder, one.listen, one.control)
            node.start(
                {
                    **self.configuration(one.name, one.number, one.listen, one.control, self.discovery),
                    "peers": {
                        "listen": one.peers,
                        "members": topology.listed(self.fleet, one),
                        "folder": os.path.join(folder, "peers"),
                        "lease_ms": self.options.lease_ms,
                        "registry": "scale",
                    },
                },
                scale,
            )

    def configuration(self, name, number, listen, control, discovery):
        return {
            "name": name,
            "listen": listen,
            "control": control,
            "discovery": discovery.address,
            "seed": f"{self.options.seed * 4096 + number:x}",
            "settings": {**self.settings, "me": number},
            "limits": {"sockets": SOCKETS, "memory_mb": MEMORY_MB},
        }

    def start_idle(self, scale):
        """A dispatcher alone, without peers, workers or jobs: what memory is compared with."""
        host, port = self.fleet[0].host, self.fleet[0].port
        folder = os.path.join(self.folder, "idle")
        os.makedirs(os.path.join(folder, "tmp"))
        listen, control = f"{host}:{port + 3}", f"{host}:{port + 4}"
        self.idle = Real("idle", folder, listen, control)
        self.idle.start(self.configuration("idle", 0, listen, control, self.empty), "")

    async def start_hollow(self, state, scale):
        hollow = [one for one in self.fleet if not one.real]
        with open(scale) as file:
            told = json.load(file)
        for at in range(0, len(hollow), HOLLOW_A_PROCESS):
            some = hollow[at : at + HOLLOW_A_PROCESS]
            host = {
                **told,
                "hosted": [one.name for one in some],
                "records": {one.name: topology.first_records(one, state) for one in some},
                "listed": {one.name: one.peers for one in self.fleet if one.votes},
                "addresses": {one.name: one.peers for one in self.fleet},
                "lease": self.options.lease_ms * 1000,
                "seed": self.options.seed,
                "discovery": self.discovery.address,
            }
            path = write_json(os.path.join(self.folder, f"hollow-{at}.json"), host)
            self.hollow.append(Host("lightweight_dispatcher", path))
            await self.hollow[-1].begin()

    async def until(self, holds, seconds, what):
        last = time.monotonic() + seconds
        while not await holds():
            for host in (*self.hollow, *self.workers):
                if host.process.returncode is not None:
                    raise Failed(f"a host of hollow ones ended with {host.process.returncode}")
            if time.monotonic() > last:
                raise Failed(f"{what} in {seconds:.0f} s")
            await asyncio.sleep(LOOK)

    async def is_ready(self, node):
        if node.process.poll() is not None:
            raise Failed(f"{node.name} ended with {node.process.returncode}: {node.last_line()}")
        status, _, _ = await call(node.control, "GET", "/api/ready", seconds=CALL)
        return status == 200

    # Asking

    async def agreed(self, node):
        """What a dispatcher tells of the agreement; nothing where it does not answer."""
        status, _, text = await call(node.control, "GET", "/api/agreed", seconds=CALL)
        return orjson.loads(text) if status == 200 else {}

    async def leader(self):
        """The name that the real dispatchers give, "" where they differ or know none."""
        told = [await self.agreed(node) for node in self.nodes.values() if node.process.poll() is None]
        names = {one.get("leader", "") for one in told}
        return names.pop() if len(names) == 1 else ""

    async def real_leader(self):
        """Hollow ones hand the lead on until a real one has it."""

        async def leads():
            name = await self.leader()
            if name and name not in self.nodes:
                for host in self.hollow:
                    host.say(f"leave {self.fleet[0].name}")
                await asyncio.sleep(1.0)
            return name in self.nodes

        await self.until(leads, READY, "no real dispatcher leads")

    async def in_force_everywhere(self):
        told = await self.agreed(self.nodes[await self.leader() or next(iter(self.nodes))])
        return bool(told.get("in_force"))

    # Measuring

    async def measure(self):
        """One window of `seconds`, with all that the options ask for in it."""
        self.events = Events(self.discovery, self.options, self.restart_worker)
        load = Load(
            per_second=self.options.jobs_per_second,
            retries=0,
            queue_types=[QueueType(name="read", share=0.8), QueueType(name="post", share=0.2)],
        )
        clients = Clients(self, load, self.options.seed, self.options.seconds)
        tasks = [asyncio.create_task(self.events.play())]
        if self.options.jobs_per_second:
            tasks.append(asyncio.create_task(clients.front.look()))
        if self.options.changes_per_second:
            tasks.append(asyncio.create_task(self.change_settings()))
        await asyncio.sleep(self.options.settle)
        before = {name: node.counts() for name, node in self.nodes.items()}
        listed = dict(self.discovery.counts)
        jobs = asyncio.create_task(clients.run(time.monotonic_ns() // 1000))
        try:
            await asyncio.sleep(self.options.seconds)
            after = {name: node.counts() for name, node in self.nodes.items()}
            await self.figures_of(before, after)
            self.figures["list"] = {
                name: (count - listed[name]) / self.options.seconds
                for name, count in self.discovery.counts.items()
            }
            async with asyncio.timeout(30):
                await jobs
        except TimeoutError:
            raise Failed("clients did not come to an end") from None
        finally:
            for task in (*tasks, jobs):
                task.cancel()
            ended = await asyncio.gather(*tasks, jobs, return_exceptions=True)
        for error in ended:
            if isinstance(error, Exception) and not isinstance(error, asyncio.CancelledError):
                raise Failed(f"{type(error).__name__}: {error}")
        self.summed()

    async def figures_of(self, before, after):
        idle = self.idle.resident_bytes()
        self.figures["idle_mb"] = round(idle / 1e6, 2)
        rows = []
        for name, node in self.nodes.items():
            told = await self.agreed(node)
            votes = told.get("members", {}).get(name, {}).get("votes")
            role = "leader" if told.get("leads") else "voter" if votes else "follower"
            cpu = meter.share(before[name], after[name])
            rows.append(
                {
                    "name": name,
                    "role": role,
                    "cpu_percent": {purpose: round(us / 1e4, 3) for purpose, us in sorted(cpu.items())},
                    "memory_mb": round(node.resident_bytes() / 1e6, 2),
                    "memory_over_idle_mb": round((node.resident_bytes() - idle) / 1e6, 2),
                    "descriptors": node.descriptors(),
                    "longest_turn_ms": meter.longest_turn(before[name], after[name]) / 1000,
                    "sent": rounded(meter.traffic(before[name], after[name], "sent")),
                    "received": rounded(meter.traffic(before[name], after[name], "received")),
                }
            )
        self.figures["dispatchers"] = rows

    def summed(self):
        self.figures["in_force_ms"] = spread(self.in_force)
        self.figures["changes"] = {str(status): count for status, count in sorted(self.statuses.items())}
        self.figures["settings_bytes"] = len(orjson.dumps(self.settings))
        self.figures["jobs"] = {
            "sent": self.counts.get("sent", 0),
            "lost": self.counts.get("lost", 0),
            "answers": {str(status): count for status, count in sorted(self.outcomes.items())},
            "ms": spread(self.times),
        }
        self.figures["faults"] = sum(node.faults() for node in self.nodes.values())
        self.figures["late_ms"] = {"jobs": round(self.late * 1000, 1), "rig": round(self.lag * 1000, 1)}

    # Changes of settings

    async def change_settings(self):
        """One quota after the other is changed, at dispatchers in turn; each change names the one before."""
        nodes, count, version = list(self.nodes.values()), 0, None
        began = time.monotonic()
        while True:
            count += 1
            await asyncio.sleep(max(0, began + count / self.options.changes_per_second - time.monotonic()))
            node = nodes[count % len(nodes)]
            if version is None:
                version = (await self.agreed(node)).get("settings_version")
            version = await self.change_one(node, count, version)

    async def change_one(self, node, count, version):
        """The version that stands afterwards, None where it is not known."""
        tenants = [dict(one) for one in self.settings["tenants"]]
        if tenants:
            tenants[count % len(tenants)]["quotaPerS"] = 40.0 + count % 10
        document = {**self.settings, "tenants": tenants, "stepMs": 4.0 + count % 2}
        began = time.monotonic()
        status, fields, text = await call(
            node.control,
            "POST",
            "/api/settings",
            orjson.dumps(document),
            [("if-match", f'"{version}"')],
            CALL,
        )
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status not in (200, 202):
            return None
        self.settings = document
        waits = int(fields.get(b"in-force-in-ms", b"0"))  # at the latest, where it is not in force yet
        self.in_force.append((time.monotonic() - began) * 1000 + waits)
        return int(fields[b"etag"].strip(b'W/" '))

    # Another leader

    async def replace_leader(self):
        """Kills the leader; how long until another one leads, and until a change is agreed."""
        await self.until(self.calm, READY, "the fleet does not come to rest")
        name = await self.leader()
        if name not in self.nodes:
            raise Failed("no real dispatcher leads")
        self.nodes[name].process.kill()
        began, others = time.monotonic(), [node for other, node in self.nodes.items() if other != name]

        async def another():
            told = await self.agreed(others[0])
            return told.get("leader", "") not in ("", name)

        await self.until(another, ELECTION, "no other leader")
        self.figures["new_leader_ms"] = round((time.monotonic() - began) * 1000, 1)

        worker = self.discovery.a_ready_one()

        async def changes():
            path = f"/api/exclude/{worker}"
            status, fields, _ = await call(others[0].control, "POST", path, seconds=CALL)
            self.figures["change_in_force_in_ms"] = int(fields.get(b"in-force-in-ms", b"0"))
            return status in (200, 202)

        await self.until(changes, ELECTION, "no change is agreed")
        self.figures["change_after_kill_ms"] = round((time.monotonic() - began) * 1000, 1)

    async def calm(self):
        return bool(await self.leader()) and await self.in_force_everywhere()


def rounded(traffic):
    return {kind: [round(count, 2), round(size, 1)] for kind, (count, size) in sorted(traffic.items())}


def spread(figures):
    """Count, percentiles and the most of milliseconds."""
    if not figures:
        return {"count": 0}
    at = {f"p{p}": round(float(numpy.percentile(figures, p)), 1) for p in (50, 99)}
    return {"count": len(figures), **at, "most": round(max(figures), 1)}
