"""Which scenarios the simulator can play; the others need processes."""

from mastledge.lab import consensus_schedules
from mastledge.lab.scenario import Scenario, ScenarioError

FAULTS = {
    "kill", "all", "stop", "outages", "restart", "drain", "ready", "gone", "list_late", "list_silent",
    "list_down", "cut", "list_empty", "worker",
}  # fmt: skip
CALLS = {"exclude", "include"}


def check_supported(scenario: Scenario) -> None:
    """Raises ScenarioError, with the key, for what is not simulated."""
    for n, step in enumerate(scenario.steps):
        name = step.fault or step.call
        if name not in FAULTS | CALLS:
            raise ScenarioError(f"steps[{n}]: {name} is not emulated; run it with processes")
        if step.build:
            raise ScenarioError(f"steps[{n}].build: not emulated; run it with processes")
    if scenario.repeats and scenario.repeats.get("copies", 1) < 2:
        raise ScenarioError("repeats.copies: one copy is not emulated; run it with processes")
    for name in ("builds", "rates", "ahead"):
        if getattr(scenario, name):
            raise ScenarioError(f"{name} are not emulated; run it with processes")
    if scenario.agree and scenario.lease_ms * 1000 != consensus_schedules.LEASE:
        raise ScenarioError(f"lease_ms: only {consensus_schedules.LEASE // 1000} is emulated")
