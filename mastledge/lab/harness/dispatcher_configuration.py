"""What a scenario says, as configuration of dispatchers and as limits of the invariant checker."""

import json
import os
import sys
from typing import TYPE_CHECKING, Any

import msgspec

from mastledge.lab.harness.dispatcher import Dispatcher
from mastledge.lab.scenario import Scenario

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness

GRACE_US = 1_000_000  # after which nothing new goes to a draining worker; `stopSendingWithinMs` says the same
SLOW_START_WINDOW_US = 1_000_000  # in which the work given to a cold worker is summed; `fallMs` says the same


def settings_document(scenario: Scenario) -> dict[str, Any]:
    """Return the settings of a scenario, as they stand in a configuration."""
    return {
        "balancers": scenario.dispatchers,
        "me": 0,
        "stepMs": 4.0,
        "discovery": "pushed",
        "kinds": ["m"],
        "zones": ["a"],
        "familyInfo": {"tellsStart": True, "progressMs": 0},
        "limits": {"maxLaunches": 5, "cancel": True, "retryAfter": True, "maxRetryAfterMs": 1000.0},
        "rules": {
            "coldFrom": scenario.workers.cold_from,
            "coldMs": scenario.workers.cold_ms or 1.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": 1000.0,
        },
        "queueTypes": [
            {
                "name": queue_type.name,
                "targetTurnaroundMs": queue_type.target_ms,
                "walltimeMs": queue_type.walltime_ms,
                "idempotency": queue_type.effect,
            }
            for queue_type in scenario.clients.queue_types
        ],
        **scenario.settings,
    }


def checker_limits(scenario: Scenario) -> dict[str, Any]:
    """Return what the invariant checker has to know of a scenario; times are microseconds."""
    return {
        "grace": GRACE_US,
        "goals": msgspec.to_builtins(scenario.goals),
        "repeats": bool(scenario.repeats),
        "run_once": [
            queue_type.name
            for queue_type in scenario.clients.queue_types
            if queue_type.effect == "side_effect"
        ],
        "cold": {
            "span": SLOW_START_WINDOW_US,
            "multiple": settings_document(scenario)["rules"]["fallMultiple"],
            "slots": scenario.workers.slots,
            "from": scenario.workers.cold_from,
            "for": int(scenario.workers.cold_ms * 1000),
        },
    }


def write_configuration(harness: "ProcessHarness", node: Dispatcher) -> None:
    """Write the configuration file of a dispatcher and note where it is."""
    scenario = harness.scenario
    index = list(harness.nodes).index(node.name)
    configuration = {
        "name": node.name,
        "listen": node.listen,
        "control": node.control,
        "discovery": harness.registry.agents[node.name].address,
        "seed": f"{harness.seed * 64 + index:x}",
        "settings": {**settings_document(scenario), "me": index},
        "limits": {"sockets": 512, "memory_mb": 128},
    }
    if scenario.agree:
        configuration["peers"] = peers_section(harness, node)
    if scenario.repeats:
        folder = (
            os.path.join(harness.disk, node.name) if harness.disk else os.path.join(node.folder, "repeats")
        )
        configuration["repeats"] = {"folder": folder, **scenario.repeats}
    if scenario.recovery:
        configuration["recovery"] = {"folder": os.path.join(node.folder, "recovery"), **scenario.recovery}
    node.config = os.path.join(node.folder, "config.json")
    with open(node.config, "w") as file:
        json.dump(configuration, file, indent=1)


def peers_section(harness: "ProcessHarness", node: Dispatcher) -> dict[str, Any]:
    """Return the section `peers` of a dispatcher's configuration."""
    scenario = harness.scenario
    return {
        "listen": node.peers,
        "members": members_seen_by(harness, node),
        "form": scenario.form,
        "folder": os.path.join(node.folder, "kept"),
        "lease_ms": scenario.lease_ms,
        "without_lease": scenario.without_lease,
        "registry": "lab",
    }


def members_seen_by(harness: "ProcessHarness", node: Dispatcher) -> dict[str, str]:
    """Return the members' addresses as this dispatcher sees them: each other one behind a link proxy."""
    return {
        name: other.peers if name == node.name else harness.link_proxies[node.name, name].address
        for name, other in harness.nodes.items()
        if not other.late or name == node.name
    }


def command_line(harness: "ProcessHarness", node: Dispatcher) -> list[str]:
    """Return the command that starts a dispatcher: the program, or the variant that the scenario names."""
    scenario = harness.scenario
    program = harness.program
    build = scenario.builds.get(node.name, "")
    rate, ahead = scenario.rates.get(node.name, 1.0), scenario.ahead.get(node.name, 0.0)
    if build or rate != 1.0 or ahead:
        program = [sys.executable, "-B", "-m", "mastledge.lab.build_variants"]
        program += ["--rate", str(rate), "--ahead", str(ahead)]
        program += ["--build", build] if build else []
    return [*program, "serve", "--config", node.config]
