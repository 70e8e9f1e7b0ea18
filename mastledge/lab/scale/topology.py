"""Who is where in a scale run: names, addresses, regions, and the state that the fleet begins with."""

import os
from dataclasses import dataclass

from mastledge.consensus.persisted_state import PersistedMember, PersistedState, encoded_records
from mastledge.consensus.state_machine import initial_state
from mastledge.lab.scale.options import ScaleOptions
from mastledge.storage.data_directory import DataDirectory
from mastledge.storage.write_ahead_log import WriteAheadLog

FLEET = "scale"
PEERS_PORT, JOBS_PORT, CONTROL_PORT = 0, 1, 2  # behind the first port of a run
PORTS_A_RUN = 8
FIRST_NETWORK, NETWORKS = 128, 100  # in the second byte of an address
FIRST_PORT, PORTS = 10_000, 20_000  # below the ports that the system gives out by itself
FIRST_WORKER_NETWORK = 64  # in the second byte of an address; dispatchers are in 128 and above
HOSTS = 250  # in the last byte of an address


@dataclass(frozen=True)
class Dispatcher:
    """One member of the fleet; `region` is the number of its region."""

    name: str
    number: int
    real: bool
    votes: bool
    region: int
    zone: int
    host: str
    port: int

    @property
    def peers(self) -> str:
        """Where it listens for other dispatchers."""
        return f"{self.host}:{self.port + PEERS_PORT}"

    @property
    def listen(self) -> str:
        """Where it listens for clients."""
        return f"{self.host}:{self.port + JOBS_PORT}"

    @property
    def control(self) -> str:
        """Where it listens for operators."""
        return f"{self.host}:{self.port + CONTROL_PORT}"

    @property
    def incarnation(self) -> str:
        """The incarnation that the first state names."""
        return f"{self.name}.0"


def dispatchers(options: ScaleOptions, process: int) -> list[Dispatcher]:
    """All of them: real ones first, of which the last one does not vote where there are enough voters.

    Each has an address of its own on loopback, told apart from other runs by the `process` id.
    """
    network = FIRST_NETWORK + process % NETWORKS
    port = FIRST_PORT + PORTS_A_RUN * (process % (PORTS // PORTS_A_RUN))
    follower = options.real - 1 if options.dispatchers > options.voters else None
    voting = [number for number in range(options.dispatchers) if number != follower][: options.voters]
    return [
        Dispatcher(
            name=f"d{number:04}",
            number=number,
            real=number < options.real,
            votes=number in voting,
            region=number % options.zones % options.regions,
            zone=number % options.zones,
            host=f"127.{network}.{number // HOSTS}.{1 + number % HOSTS}",
            port=port,
        )
        for number in range(options.dispatchers)
    ]


def first_state(options: ScaleOptions, fleet: list[Dispatcher], settings: dict) -> dict:
    """The agreed state from which all begin, as if the fleet had been formed."""
    members = {one.name: (one.peers, one.incarnation) for one in fleet}
    state = initial_state(settings, options.lease_ms * 1000, members)
    for one in fleet:
        state["members"][one.name]["votes"] = one.votes
    if options.fan_out:
        state["fan_out"] = options.fan_out
    return state


def first_records(one: Dispatcher, state: dict) -> list[tuple]:
    """The records of one member's log at the start."""
    member = PersistedMember(FLEET, one.incarnation, 1, "", 1, 1, state, [])
    return encoded_records(member)


def write_folder(one: Dispatcher, path: str, state: dict) -> None:
    """The folder of a real dispatcher, with its write-ahead log."""
    folder = DataDirectory(path).acquire()
    log = WriteAheadLog(folder, "agreement", {"name": one.name}, PersistedState()).open()
    log.append(first_records(one, state))
    log.close()
    folder.release()


def listed(fleet: list[Dispatcher], one: Dispatcher) -> dict[str, str]:
    """The members that a configuration names: the voters and the dispatcher itself."""
    return {other.name: other.peers for other in fleet if other.votes or other is one}


def settings(options: ScaleOptions) -> dict:
    """The settings of the run: queue types with and without effects, zones, and a quota for each team."""
    return {
        "balancers": options.dispatchers,
        "me": 0,
        "stepMs": 4.0,
        "discovery": "pushed",
        "kinds": ["m"],
        "zones": [f"zone-{zone}" for zone in range(options.zones)],
        "familyInfo": {"tellsStart": True, "progressMs": 0},
        "limits": {"maxLaunches": 5, "cancel": True, "retryAfter": True, "maxRetryAfterMs": 1000.0},
        "rules": {
            "coldFrom": 0.25,
            "coldMs": 5000.0,
            "fallMs": 1000.0,
            "fallMultiple": 3.0,
            "stopSendingWithinMs": 1000.0,
        },
        "queueTypes": [
            {"name": "read", "targetTurnaroundMs": 400, "walltimeMs": 2000, "idempotency": "pure"},
            {"name": "post", "targetTurnaroundMs": 400, "walltimeMs": 2000, "idempotency": "side_effect"},
        ],
        "tenants": [
            {"name": f"team-{team:02}", "portion": round(1 / options.teams, 6), "quotaPerS": 42.0}
            for team in range(options.teams)
        ],
    }


def folder_of(root: str, one: Dispatcher) -> str:
    """The folder of a real dispatcher in that of the run; it is made."""
    path = os.path.join(root, one.name)
    os.makedirs(os.path.join(path, "tmp"), exist_ok=True)
    return path
