"""Scenarios: what is started, what befalls it and when. TOML, checked whole before anything starts;
docs/laboratory.md.
"""

import csv
import os
import tomllib

import msgspec

from mastledge.lab import build_variants
from mastledge.lab.faults import KINDS

MOST = 400  # dispatchers; of processes no machine carries more than `PROCESSES`
PROCESSES = 60
HERE = os.path.join(os.path.dirname(__file__), "scenarios")


class ScenarioError(ValueError):
    """One line with file and key."""


class Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of TOML; a key that it does not have is an error."""


class Workers(Strict):
    """The workers: how many, with how many slots, how long a job runs and how cold each starts."""

    count: int = 4
    slots: int = 4
    run_ms: tuple[float, float] = (10, 40)
    cold_ms: float = 0
    cold_from: float = 0.25
    drops: bool = False  # what its dispatcher gives up before it starts


class QueueType(Strict):
    """One type of jobs and its share of the load."""

    name: str
    effect: str = "pure"
    share: float = 1.0
    target_ms: float = 400
    walltime_ms: float = 2000


class Clients(Strict):
    """`shape`: [second, factor of `per_second`], straight lines between, so ramps and bursts; `day`: a file
    of lines `second,per_second` in place of both, found beside the scenario.
    """

    per_second: float = 40
    shape: list[tuple[float, float]] = []
    day: str = ""
    retries: int = 2
    again_when_lost: bool = False
    again_after: float = 0.0
    patience_ms: float = 0.0
    keyed: float = 1.0
    queue_types: list[QueueType] = msgspec.field(
        default_factory=lambda: [
            QueueType(name="read", share=0.6),
            QueueType(name="post", effect="side_effect", share=0.4),
        ]
    )


class Step(Strict):
    """One thing that befalls the fleet, or is asked of it, at a second of the run."""

    at: float
    fault: str = ""
    call: str = ""
    who: str = ""
    to: str = ""
    seconds: float = 0
    worker: str = ""
    amount: float = 0
    change: dict = {}
    build: str = ""
    kind: str = ""
    share: float = 1.0
    count: int = 0


class Goals(Strict):
    """What the judge asks of a run beside the rules; 0: nothing.

    `back_s`: so long after the last fault is over `share` of the first tries are served within `within_s`,
    and all that come later as well. `most_out`: launches at once at a worker, by its slots.
    """

    back_s: float = 0.0
    share: float = 0.95
    within_s: float = 2.0
    most_out: float = 0.0


class Scenario(Strict):
    """One scenario, as its file has it; docs/laboratory.md says what each key is."""

    name: str
    about: str = ""
    seconds: float = 10
    dispatchers: int = 3
    lease_ms: int = 2000
    without_lease: str = "reject"
    form: bool = True
    agree: bool = True
    repeats: dict = {}
    recovery: dict = {}
    rates: dict[str, float] = {}
    ahead: dict[str, float] = {}  # seconds by which the Unix clock of a dispatcher is wrong
    builds: dict[str, str] = {}
    settings: dict = {}
    workers: Workers = msgspec.field(default_factory=Workers)
    clients: Clients = msgspec.field(default_factory=Clients)
    goals: Goals = msgspec.field(default_factory=Goals)
    steps: list[Step] = []


# fault: which of who, to, seconds, worker, amount it needs
FAULTS = {
    "kill": {"who"},
    "stop": {"who", "seconds"},
    "term": {"who"},
    "wipe": {"who"},
    "lose": {"who"},
    "start": {"who"},
    "losses": {"amount"},
    "outages": {"amount", "seconds"},
    "all": {"seconds"},
    "clone": {"who", "to"},
    "save": {"who"},
    "put_back": {"who"},
    "full": {"who", "seconds"},
    "tear": {"who"},
    "spoil_file": {"who"},
    "cut": {"who", "seconds"},
    "cut_one_way": {"who", "seconds"},
    "delay": {"who", "seconds", "amount"},
    "drip": {"who", "seconds", "amount"},
    "reset": {"who", "seconds"},
    "half_open": {"who", "seconds"},
    "spoil": {"who", "seconds"},
    "list_late": {"who", "seconds", "amount"},
    "list_silent": {"who", "seconds"},
    "list_down": {"seconds"},
    "drain": {"worker"},
    "ready": {"worker"},
    "restart": {"worker"},
    "gone": {"worker"},
    "worker": {"worker", "kind"},
    "list_old": {"amount", "seconds"},
    "list_empty": {"seconds"},
    "upgrade": {"who"},
    "garbage": {"who"},
    "add": {"who"},
}
CALLS = {
    "exclude": {"who", "worker"},
    "include": {"who", "worker"},
    "settings": {"who", "change"},
    "members": {"who", "change"},
    "copies": {"who", "amount"},
    "evacuate": {"who"},
    "snapshot": {"who"},
    "restore": {"who"},
    "accept_loss": {"who"},
    "desert": {"who"},
    "rejoin": {"who"},
}


def find(path: str) -> str:
    """Return the path of a file, or of a scenario that comes with the package; ScenarioError for neither."""
    if os.path.exists(path):
        return path
    here = os.path.join(HERE, path if path.endswith(".toml") else path + ".toml")
    if os.path.exists(here):
        return here
    raise ScenarioError(f"{path}: no such file, and none of: " + ", ".join(known()))


def known() -> list[str]:
    """Return the names of the scenarios that come with the package."""
    return sorted(name[:-5] for name in os.listdir(HERE) if name.endswith(".toml"))


def read(path: str) -> Scenario:
    """Return the scenario in a file; ScenarioError says file and key."""
    path = find(path)
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
        scenario = msgspec.convert(document, Scenario)
        if scenario.clients.day:
            scenario.clients.shape = read_day(os.path.join(os.path.dirname(path), scenario.clients.day))
            scenario.clients.per_second, scenario.clients.day = 1.0, ""
        check(scenario)
    except OSError as error:
        raise ScenarioError(f"{error.filename or path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    return scenario


def read_day(path: str) -> list[tuple[float, float]]:
    """Return the rows (second, jobs a second) of a day; ValueError names the line."""
    rows = []
    with open(path, newline="") as file:
        for n, row in enumerate(csv.reader(file), 1):
            if not row or row[0].lstrip().startswith("#"):
                continue
            try:
                second, rate = map(float, row)
            except ValueError:
                raise ValueError(f"clients.day: {path}, line {n}: no second,per_second: {row}") from None
            rows.append((second, rate))
    return rows


def check_shape(shape: list[tuple[float, float]], seconds: float) -> None:
    """Check the shape of a load; ScenarioError says what is wrong with it."""
    if any(factor < 0 or not factor < 1e6 for _, factor in shape):
        raise ScenarioError("clients.shape: a factor is below 0 or no number")
    if any(not after[0] > before[0] for before, after in zip(shape, shape[1:], strict=False)):
        raise ScenarioError("clients.shape: seconds do not go on")
    if shape and (shape[0][0] < 0 or shape[0][0] > seconds):
        raise ScenarioError(f"clients.shape: begins outside the run: {shape[0][0]}")


def check(scenario: Scenario) -> None:
    """Check what the types of a scenario do not; ScenarioError names the key."""
    names = {f"n{n}" for n in range(scenario.dispatchers)}
    if not 1 <= scenario.dispatchers <= MOST:
        raise ScenarioError(f"dispatchers: not from 1 to {MOST}: {scenario.dispatchers}")
    if not 0 < scenario.seconds <= 600:
        raise ScenarioError(f"seconds: not above 0 and up to 600: {scenario.seconds}")
    for key in ("count", "slots"):
        if getattr(scenario.workers, key) < 1:
            raise ScenarioError(f"workers.{key}: below 1")
    check_clients(scenario.clients, scenario.seconds)
    for key, build in scenario.builds.items():
        if build_variants.found(build) is None:
            raise ScenarioError(f"builds.{key}: unknown: {build}")
    check_goals(scenario.goals)
    for key in (*scenario.rates, *scenario.builds, *scenario.ahead):
        if key not in names:
            raise ScenarioError(f"no dispatcher of this name: {key}")
    for n, step in enumerate(scenario.steps):
        check_step(scenario, step, f"steps[{n}]")


def check_clients(clients: Clients, seconds: float) -> None:
    """Check the load of a run of so many seconds."""
    check_shape(clients.shape, seconds)
    if clients.day:
        raise ScenarioError("clients.day: only in a scenario that is a file")
    if clients.patience_ms < 0:
        raise ScenarioError("clients.patience_ms: below 0")
    if clients.per_second < 0:
        raise ScenarioError("clients.per_second: below 0")
    for key in ("again_after", "keyed"):
        if not 0 <= (share := getattr(clients, key)) <= 1:
            raise ScenarioError(f"clients.{key}: not from 0 to 1: {share}")


def check_goals(goals: Goals) -> None:
    """Check what is asked of the run beside the rules."""
    if goals.back_s < 0 or goals.most_out < 0 or goals.within_s <= 0:
        raise ScenarioError("goals: none may be below 0")
    if not 0 < goals.share <= 1:
        raise ScenarioError(f"goals.share: not above 0 and up to 1: {goals.share}")


def check_step(scenario: Scenario, step: Step, where: str) -> None:
    """Check one step; `where` names it in messages."""
    if step.at < 0 or step.at > scenario.seconds:
        raise ScenarioError(f"{where}.at: not within the run: {step.at}")
    if step.seconds < 0:
        raise ScenarioError(f"{where}.seconds: ends before it begins: {step.seconds}")
    if step.build and step.build != "none" and build_variants.found(step.build) is None:
        raise ScenarioError(f"{where}.build: unknown: {step.build}")
    check_step_action(step, where)
    check_worker_trouble(step, where)
    check_step_names(scenario, step, where)


def check_step_action(step: Step, where: str) -> None:
    """Check that a step is one fault or one call, and has what that needs."""
    if bool(step.fault) == bool(step.call):
        raise ScenarioError(f"{where}: either fault or call")
    table, key = (FAULTS, step.fault) if step.fault else (CALLS, step.call)
    if key not in table:
        raise ScenarioError(f"{where}.{'fault' if step.fault else 'call'}: unknown: {key}")
    for need in sorted(table[key]):
        if not getattr(step, need):
            raise ScenarioError(f"{where}.{need}: missing for {key}")


def check_worker_trouble(step: Step, where: str) -> None:
    """Check what a step says of the trouble of a worker."""
    if step.kind and step.kind not in KINDS:
        raise ScenarioError(f"{where}.kind: none of {', '.join(sorted(KINDS))}: {step.kind}")
    if step.kind == "slow" and step.amount <= 0:
        raise ScenarioError(f"{where}.amount: missing for slow")
    if not 0 < step.share <= 1 or step.count < 0:
        raise ScenarioError(f"{where}.share, count: above 0 up to 1, and none below 0")


def check_step_names(scenario: Scenario, step: Step, where: str) -> None:
    """Check that dispatchers and workers that a step names are there, or are added by a step."""
    workers = {f"w{n}" for n in range(scenario.workers.count)}
    dispatchers = {f"n{n}" for n in range(scenario.dispatchers)}
    dispatchers |= {other.who for other in scenario.steps if other.fault == "add"}
    for field, names in (("who", dispatchers), ("to", dispatchers), ("worker", workers)):
        value = getattr(step, field)
        if value and value not in names:
            raise ScenarioError(f"{where}.{field}: nobody of this name: {value}")
