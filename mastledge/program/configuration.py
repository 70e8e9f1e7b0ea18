"""What one dispatcher is told: environment and configuration file."""

import orjson

from mastledge.program.settings import flat, plain_map
from mastledge.transport.connection import address_of


class BadConfiguration(ValueError):
    """One plain message for whoever starts the program."""


def part(told, name, kind, absent=None):
    value = absent if told.get(name) is None else told[name]
    if value is None:
        raise BadConfiguration(f"{name} is missing")
    if not isinstance(value, kind):
        raise BadConfiguration(f"{name} cannot be read: {value!r}")
    return value


def seed_of(text):
    try:
        return int(text, 16)
    except ValueError:
        raise BadConfiguration(f"seed cannot be read: {text!r}") from None


def configuration(path, env):
    """A plain map of all that the program is told; the environment stands in for what the file leaves out."""
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
    except OSError as error:
        raise BadConfiguration(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise BadConfiguration(f"{path} is no JSON: {error}") from None
    if not isinstance(told, dict):
        raise BadConfiguration(f"{path} holds no object")
    try:
        out = {"name": part(told, "name", str, env.get("GW_NAME", "dispatcher"))}
        for name, variable in (("listen", "GW_LISTEN"), ("discovery", "GW_DISCOVERY")):
            out[name] = address_of(part(told, name, str, env.get(variable)))
        # For operators alone; absent there is no such address.
        control = part(told, "control", str, env.get("GW_CONTROL") or "")
        out["control"] = address_of(control) if control else None
        if out["control"] == out["listen"]:
            raise BadConfiguration(f"control is the same address as listen: {control}")
        out["seed"] = seed_of(part(told, "seed", str))
        limits = part(told, "limits", dict, {})
        out["sockets"] = int(part(limits, "sockets", int, 1024))
        out["memory"] = part(limits, "memory_mb", int, 256) << 20
        out["known"] = part(told, "known", dict, {})
        out["settings"] = plain_map(flat(part(told, "settings", dict)))
    except ValueError as error:  # bad settings and addresses are such
        raise BadConfiguration(f"{path}: {error}") from None
    return out
