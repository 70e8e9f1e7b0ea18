"""The configuration file of the program under test, and the times that it sets (microseconds)."""

from dataclasses import dataclass
from pathlib import Path

import orjson

WALLTIME_US = 4_000_000
WINDOW_US = 600_000
CONNECT_TIMEOUT_US = 250_000
DRAIN_GRACE_US = 100_000


@dataclass(frozen=True, slots=True)
class Effect:
    """What a launch does: the `idempotency` of its queue type, and whether launches may be revoked."""

    idempotency: str
    may_cancel: bool


EFFECTS = {
    "restartable": Effect("pure", True),
    "run-once": Effect("side_effect", True),
    "deduplicated": Effect("token", True),
    "unrevoked": Effect("pure", False),
}


def program_settings(effect: Effect) -> dict:
    """Give the `settings` of the configuration for launches of this effect."""
    rules = {
        "coldFrom": 0.3,
        "coldMs": 50.0,
        "fallMs": 1000.0,
        "fallMultiple": 3.0,
        "stopSendingWithinMs": DRAIN_GRACE_US / 1000,
    }
    queue_type = {
        "name": "render",
        "targetTurnaroundMs": 3000.0,
        "walltimeMs": WALLTIME_US / 1000,
        "idempotency": effect.idempotency,
        "dedupScope": "zone",
        "windowMs": WINDOW_US / 1000,
    }
    return {
        "balancers": 4,
        "me": 0,
        "stepMs": 4.0,
        "discovery": "pushed",
        "rules": rules,
        "limits": {
            "maxLaunches": 5,
            "cancel": effect.may_cancel,
            "connectTimeoutMs": CONNECT_TIMEOUT_US / 1000,
        },
        "familyInfo": {"tellsStart": True},
        "queueTypes": [queue_type],
    }


def write_configuration(path: Path, listen: str, discovery: str, effect: Effect, known: dict) -> None:
    """Write the file: addresses of the program and of its discovery, and the list that it starts with."""
    configuration = {
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f",
        "settings": program_settings(effect),
        "known": known,
        "limits": {"sockets": 128},
    }
    path.write_bytes(orjson.dumps(configuration))
