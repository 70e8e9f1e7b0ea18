"""The steps of a scenario: each at its second, a fault by its name or a call of an operator."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from mastledge.lab.harness import (
    discovery_faults,
    link_faults,
    machine_losses,
    process_faults,
    storage_faults,
)
from mastledge.lab.harness.operator_calls import call_operator
from mastledge.lab.scenario import Step
from mastledge.lab.wire import now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness

# By the names that `fault` has in scenarios; `scenario.FAULTS` says what each needs.
FAULT_STEPS: dict[str, Callable[["ProcessHarness", Step], Awaitable[None]]] = {
    "kill": process_faults.kill,
    "stop": process_faults.stop,
    "term": process_faults.terminate,
    "start": process_faults.start,
    "all": process_faults.kill_all,
    "upgrade": process_faults.upgrade,
    "add": process_faults.add,
    "losses": machine_losses.lose_machines,
    "outages": machine_losses.outages_in_turn,
    "wipe": storage_faults.wipe,
    "lose": storage_faults.lose,
    "clone": storage_faults.clone,
    "save": storage_faults.save,
    "put_back": storage_faults.put_back,
    "full": storage_faults.fill_disk,
    "tear": storage_faults.tear,
    "spoil_file": storage_faults.spoil_file,
    "cut": link_faults.cut,
    "cut_one_way": link_faults.cut_one_way,
    "delay": link_faults.delay,
    "drip": link_faults.drip,
    "reset": link_faults.reset,
    "half_open": link_faults.half_open,
    "spoil": link_faults.spoil,
    "garbage": link_faults.garbage,
    "list_late": discovery_faults.delay_list,
    "list_silent": discovery_faults.silence_list,
    "list_down": discovery_faults.silence_all_lists,
    "list_old": discovery_faults.forget_changes,
    "list_empty": discovery_faults.empty_list,
    "worker": discovery_faults.trouble_worker,
    "drain": discovery_faults.drain_worker,
    "ready": discovery_faults.list_worker_ready,
    "gone": discovery_faults.remove_worker,
    "restart": discovery_faults.restart_worker,
}


async def run_step(harness: "ProcessHarness", step: Step) -> None:
    """Wait for the step's second, then carry it out; a fault is noted as a spell with its begin and end."""
    await asyncio.sleep(max(0, harness.began / 1e6 + step.at - time.monotonic()))
    if step.call:
        await call_operator(harness, step)
        return
    spell = {"who": step.who, "fault": step.fault, "from": now(), "to": float("inf")}
    harness.spells.append(spell)
    harness.say(
        f"{step.fault} {step.who or step.worker}"
        + (f" to {step.to}" if step.to else "")
        + (f" for {step.seconds:g} s" if step.seconds else "")
    )
    await FAULT_STEPS[step.fault](harness, step)
    spell["to"] = now()
