"""The record of a run: what was seen, with what the invariant checker has to know of the scenario."""

import json
import os
import shutil
from typing import TYPE_CHECKING, Any

from mastledge.lab.harness.dispatcher_configuration import checker_limits

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness


def take_record(harness: "ProcessHarness", complete: bool, why: str) -> dict[str, Any]:
    """Return the record of a run that is over; keep it with the logs where a folder was given.

    The run's own folder is removed.
    """
    record = {
        "scenario": harness.scenario.name,
        "seed": harness.seed,
        "complete": complete,
        "why": why,
        **checker_limits(harness.scenario),
        "spells": harness.spells,
        "late_ms": round(harness.late * 1000, 1),
        "lag_ms": round(harness.lag * 1000, 1),
        "events": sorted(harness.events, key=lambda event: event["at"]),
    }
    if harness.record_folder:
        without_temporary = shutil.ignore_patterns("tmp")
        shutil.copytree(harness.folder, harness.record_folder, dirs_exist_ok=True, ignore=without_temporary)
        with open(os.path.join(harness.record_folder, "record.json"), "w") as file:
            json.dump(record, file)
    shutil.rmtree(harness.folder, ignore_errors=True)
    return record
