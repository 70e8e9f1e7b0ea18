"""Faults of disks: wiped, lost, put back, cloned, full, torn or spoilt."""

import asyncio
import os
import resource
import shutil
from typing import TYPE_CHECKING

from mastledge.lab.harness.dispatcher import LOOK, Dispatcher
from mastledge.lab.scenario import Step

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness


TORN_FRAME = b"\xa5frm\x00\x00\x01\x00half"  # head of a record, and less than its length says


def agreement_folder(node: Dispatcher) -> str:
    """Return where a dispatcher keeps what is agreed."""
    return os.path.join(node.folder, "kept")


def journal_path(harness: "ProcessHarness", node: Dispatcher) -> str:
    """Return the journal that a fault of files damages: of what is agreed, or of keys."""
    if harness.scenario.agree:
        return os.path.join(agreement_folder(node), "agreement")
    return os.path.join(node.folder, "repeats", "repeats")


def stored_folders(harness: "ProcessHarness", node: Dispatcher) -> list[str]:
    """All that a dispatcher has on its disk: what is agreed, and keys where it keeps them."""
    parts = ["kept", *(name for name in ("repeats", "recovery") if getattr(harness.scenario, name))]
    return [os.path.join(node.folder, name) for name in parts]


def erase(harness: "ProcessHarness", node: Dispatcher) -> None:
    """Remove all that a dispatcher has on its disk."""
    for folder in stored_folders(harness, node):
        shutil.rmtree(folder, ignore_errors=True)


async def start_refused(harness: "ProcessHarness", node: Dispatcher) -> None:
    """Start a dispatcher that has to refuse it, wait for its end and note what it says."""
    harness.start(node)
    while node.process.poll() is None:
        await asyncio.sleep(LOOK)
    harness.note("refused", who=node.name, status=node.process.returncode, text=node.last_log_line())


async def wipe(harness: "ProcessHarness", step: Step) -> None:
    """Killed, and started again after `seconds` with an empty disk."""
    node = harness.nodes[step.who]
    harness.killed(node)
    erase(harness, node)
    await asyncio.sleep(step.seconds)
    await harness.back(node)


async def lose(harness: "ProcessHarness", step: Step) -> None:
    """A machine is lost with its disk, and nobody starts another until `start`, if ever."""
    node = harness.nodes[step.who]
    harness.killed(node)
    node.process = None
    erase(harness, node)


async def save(harness: "ProcessHarness", step: Step) -> None:
    """A copy of the folder as it is, of a process that runs; `put_back` brings it again."""
    node = harness.nodes[step.who]
    for folder in stored_folders(harness, node):
        shutil.copytree(folder, folder + ".saved", dirs_exist_ok=True)


async def put_back(harness: "ProcessHarness", step: Step) -> None:
    """Killed, and started again after `seconds` with the folder that `save` has copied."""
    node = harness.nodes[step.who]
    harness.killed(node)
    for folder in stored_folders(harness, node):
        shutil.rmtree(folder)
        shutil.copytree(folder + ".saved", folder)
    await asyncio.sleep(step.seconds)
    await harness.back(node)


async def clone(harness: "ProcessHarness", step: Step) -> None:
    """The folder of another member under this one's name: it has to say so and not serve."""
    node = harness.nodes[step.who]
    harness.killed(node)
    own_folder = agreement_folder(node) + ".mine"
    os.rename(agreement_folder(node), own_folder)
    shutil.copytree(agreement_folder(harness.nodes[step.to]), agreement_folder(node))
    await start_refused(harness, node)
    shutil.rmtree(agreement_folder(node))
    os.rename(own_folder, agreement_folder(node))
    await harness.back(node)


async def fill_disk(harness: "ProcessHarness", step: Step) -> None:
    """No file of this process grows any more."""
    pid = harness.nodes[step.who].process.pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
    await asyncio.sleep(step.seconds)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))


async def tear(harness: "ProcessHarness", step: Step) -> None:
    """Killed in the midst of a write: the last record is cut."""
    node = harness.nodes[step.who]
    harness.killed(node)
    path = journal_path(harness, node)
    with open(path, "ab") as file:
        file.write(TORN_FRAME)
    await harness.back(node)


async def spoil_file(harness: "ProcessHarness", step: Step) -> None:
    """A bit in the midst of the journal: the start has to be refused in one line."""
    node = harness.nodes[step.who]
    harness.killed(node)
    path = journal_path(harness, node)
    with open(path, "rb") as file:
        raw = file.read()
    at = len(raw) // 2
    with open(path, "wb") as file:
        file.write(raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :])
    await start_refused(harness, node)
    shutil.rmtree(agreement_folder(node))
    await harness.back(node)
