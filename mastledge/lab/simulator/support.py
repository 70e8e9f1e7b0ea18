"""Which scenarios the simulator can play; the others need processes."""

from mastledge.lab import schedule
from mastledge.lab.scenario import BadScenario, Scenario

FAULTS = {
    "kill", "all", "stop", "outages", "restart", "drain", "ready", "gone", "list_late", "list_silent",
    "list_down", "cut", "list_empty", "worker",
}  # fmt: skip
CALLS = {"exclude", "include"}


def check_supported(scenario: Scenario) -> None:
    """Raises BadScenario, with the key, for what is not simulated."""
    for n, step in enumerate(scenario.steps):
        name = step.fault or step.call
        if name not in FAULTS | CALLS:
            raise BadScenario(f"steps[{n}]: {name} is not emulated; run it with processes")
        if step.build:
            raise BadScenario(f"steps[{n}].build: not emulated; run it with processes")
    if scenario.repeats and scenario.repeats.get("copies", 1) < 2:
        raise BadScenario("repeats.copies: one copy is not emulated; run it with processes")
    for name in ("builds", "rates", "ahead"):
        if getattr(scenario, name):
            raise BadScenario(f"{name} are not emulated; run it with processes")
    if scenario.agree and scenario.lease_ms * 1000 != schedule.LEASE:
        raise BadScenario(f"lease_ms: only {schedule.LEASE // 1000} is emulated")
