"""Dispatchers that keep very many keys: memory and disk, how long a start and a catch-up take."""

import json
import os
import shutil
import time
import tracemalloc
from typing import Any

from mastledge.idempotency.key_table import KeyTable
from mastledge.idempotency.keyed_request import KeyedRequest
from mastledge.lab.bench.measured_rig import Figures, MeasuredRig, record_of
from mastledge.lab.rig import Node
from mastledge.lab.scenario import Clients, Scenario
from mastledge.lab.wire import call
from mastledge.replication.persisted_state import PersistedReplica, head_records
from mastledge.replication.placement import heaviest
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.write_ahead_log import WriteAheadLog

DISPATCHERS = 5
REPLICAS = 3
RETENTION_US = 600_000_000
MAX_BYTES = 1 << 31
ENTRIES_PER_KEY = 4  # room for so many times the keys
ANSWER = b"x" * 60
REPLICAS_COMPLETE_SECONDS = 60.0
READY_SECONDS = 30.0
CATCH_UP_SECONDS = 120.0


class FilledRig(MeasuredRig):
    """Five dispatchers whose folders hold so many keys between them, before they start."""

    def __init__(self, keys: int, seed: int) -> None:
        """`keys` are kept in all, each at its replicas."""
        repeats = {
            "copies": REPLICAS,
            "keep_ms": RETENTION_US // 1000,
            "entries": ENTRIES_PER_KEY * keys,
            "bytes": MAX_BYTES,
        }
        scenario = Scenario(
            name="hoard",
            dispatchers=DISPATCHERS,
            seconds=600,
            repeats=repeats,
            clients=Clients(per_second=0),
        )
        super().__init__(scenario, seed, measure_restarts)
        self.keys = keys
        self.written: dict[str, tuple[int, int]] = {}  # bytes and records of each dispatcher

    async def build(self) -> None:
        """Builds the fleet, and fills its folders."""
        await super().build()
        records = key_records(list(self.nodes), self.keys)
        for name, node in self.nodes.items():
            size_bytes = write_replica(os.path.join(node.folder, "repeats"), name, records[name])
            self.written[name] = size_bytes, len(records[name]) // 2


def key_records(names: list[str], keys: int) -> dict[str, list[tuple]]:
    """What each dispatcher's log holds when all these keys are complete, each at its replicas."""
    until_us = time.time_ns() // 1000 + RETENTION_US
    records = {name: head_records(f"id-{name}", 1, 0) for name in names}
    for number in range(keys):
        key = b"key-%032d" % number
        for name in heaviest(names, "", key, REPLICAS):
            claim_name = f"{number}.0123456789ab.{name}"
            records[name].append(("claim", "", key, b"p" * 16, until_us, claim_name))
            records[name].append(("end", "", key, True, 200, ANSWER, until_us))
    return records


def write_replica(path: str, name: str, records: list[tuple]) -> int:
    """Writes the log of one dispatcher; its bytes."""
    folder = DataDirectory(path).acquire()
    log = WriteAheadLog(folder, "copies", {"name": name}, PersistedReplica(time.time_ns)).open()
    log.rewrite(records)
    size_bytes = log.size
    log.close()
    folder.release()
    return size_bytes


async def replica_state(node: Node) -> dict[str, Any]:
    """What a dispatcher tells of its replica; {} where it does not answer."""
    status, _, text = await call(node.control, "GET", "/api/copies")
    return json.loads(text) if status == 200 else {}


async def restart_without_disk(rig: FilledRig, node: Node, replicas: int) -> dict[str, float]:
    """Seconds until a dispatcher that lost its disk is ready, and until it has as many replicas again."""
    rig.killed(node)
    shutil.rmtree(os.path.join(node.folder, "repeats"))
    began = time.monotonic()
    rig.start(node)
    await rig.until(lambda: rig.ready(node), READY_SECONDS, f"{node.name} is not ready")
    ready = time.monotonic() - began

    async def caught_up() -> bool:
        state = await replica_state(node)
        return state.get("held", 0) >= replicas and await rig.whole()

    await rig.until(caught_up, CATCH_UP_SECONDS, f"{node.name} does not get its copies")
    return {
        "s_to_ready_without_its_disk": round(ready, 2),
        "s_to_full_copies": round(time.monotonic() - began, 2),
    }


async def measure_restarts(rig: FilledRig) -> Figures:
    """One dispatcher starts without its disk, and then another one with it."""
    await rig.until(rig.whole, REPLICAS_COMPLETE_SECONDS, "holders do not come together")
    node = rig.nodes["n1"]
    replicas = (await replica_state(node))["held"]
    without_disk = await restart_without_disk(rig, node, replicas)
    steps_ms = [(await replica_state(one))["longest_step_us"] / 1000 for one in rig.nodes.values()]
    rig.killed(rig.nodes["n2"])
    began = time.monotonic()
    await rig.back(rig.nodes["n2"])
    size_bytes, count = rig.written["n1"]
    return {
        "keys": rig.keys,
        "copies_on_n1": replicas,
        "bytes_a_copy_on_disk": round(size_bytes / count, 1),
        **without_disk,
        "longest_step_ms": round(max(steps_ms), 1),
        "s_to_ready_with_its_disk": round(time.monotonic() - began, 2),
    }


def measure_many_keys(keys: int, seed: int) -> Figures:
    """What so many keys take in memory and on disk, how long they are read at a start, and how long it takes
    until a machine that lost its disk has its copies again.

    Raises SystemExit with the reason where the run is incomplete.
    """
    rig = FilledRig(keys, seed)
    record_of(rig)
    return {**rig.figures, **memory_per_key(keys)}


def memory_per_key(keys: int) -> dict[str, float]:
    """Bytes that a copy takes in memory, and what the table counts for it."""
    tracemalloc.start()
    key_table = KeyTable(RETENTION_US, ENTRIES_PER_KEY * keys, MAX_BYTES, 0)
    before_bytes = tracemalloc.get_traced_memory()[0]
    for number in range(keys):
        fingerprint, claim_name = bytes([number % 256]) * 16, f"{number}.0123456789ab.n1"
        request = KeyedRequest("", b"key-%032d" % number, fingerprint, 1, claim_name)
        _, record = key_table.claim(0, request)
        key_table.complete(0, record, 200, bytes(ANSWER) + b"%06d" % number)
        key_table.take_changes()
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    return {
        "bytes_a_copy_in_memory": round(used_bytes / keys, 1),
        "bytes_counted": round(key_table.room.used_bytes / keys, 1),
    }
