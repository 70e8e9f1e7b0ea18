"""What one dispatcher is told: environment and configuration file."""

import os

import orjson

from mastledge.program.settings import flatten_settings, parse_settings
from mastledge.transport.connection import address_of


class ConfigurationError(ValueError):
    """One plain message for whoever starts the program."""


def part(told, name, kind, absent=None):
    value = absent if told.get(name) is None else told[name]
    if value is None:
        raise ConfigurationError(f"{name} is missing")
    if not isinstance(value, kind):
        raise ConfigurationError(f"{name} cannot be read: {value!r}")
    return value


def seed_of(text):
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigurationError(f"seed cannot be read: {text!r}") from None


PEERS = {"listen", "members", "folder", "form", "lease_ms", "without_lease", "registry", "fleet"}
# Shorter, and a beat is lost in the noise of a busy machine; longer, and nobody waits for it.
LEASE_MS = 500, 60_000


def peers_of(told, name, taken):
    """The part on the dispatchers that agree, None where there is none. `taken`: addresses used otherwise."""
    peers = part(told, "peers", dict, {})
    if not peers:
        return None
    for key in peers:
        if key not in PEERS:
            raise ConfigurationError(f"peers.{key} is unknown")
    out = {
        key: part(peers, key, kind, absent)
        for key, kind, absent in (
            ("members", dict, None),
            ("folder", str, None),
            ("form", bool, False),
            ("lease_ms", int, 2000),
            ("without_lease", str, "reject"),
            ("registry", str, ""),
            ("fleet", str, ""),
        )
    }
    out["listen"] = address_of(part(peers, "listen", str))
    for other, address in taken.items():
        if out["listen"] == address:
            raise ConfigurationError(f"peers.listen is the same address as {other}: {peers['listen']}")
    seen = {}
    for member, address in out["members"].items():
        if not member or not isinstance(address, str):
            raise ConfigurationError(f"peers.members cannot be read: {member!r}")
        address_of(address)
        if address in seen:
            raise ConfigurationError(f"peers.members has two at one address: {seen[address]} and {member}")
        seen[address] = member
    if name not in out["members"]:
        raise ConfigurationError(f"name is none of peers.members: {name!r}")
    if not LEASE_MS[0] <= out["lease_ms"] <= LEASE_MS[1]:
        low, high = LEASE_MS
        raise ConfigurationError(f"peers.lease_ms is not from {low} to {high}: {out['lease_ms']}")
    out["lease"] = out.pop("lease_ms") * 1000
    if out["without_lease"] not in ("reject", "serve"):
        raise ConfigurationError(f"peers.without_lease is neither reject nor serve: {out['without_lease']!r}")
    if not out["folder"]:
        raise ConfigurationError("peers.folder is empty")
    return out


REPEATS = {"keep_ms", "copies", "entries", "bytes", "folder", "sync"}
MAX_COPIES = 7  # more cost more and make nothing safer than members that vote are


def repeats_of(told, peers):
    """The part on keys that come again, None where there is none."""
    repeats = part(told, "repeats", dict, {})
    if not repeats:
        return None
    for key in repeats:
        if key not in REPEATS:
            raise ConfigurationError(f"repeats.{key} is unknown")
    out = {
        key: part(repeats, key, int, absent)
        for key, absent in (("keep_ms", 60_000), ("copies", 1), ("entries", 100_000), ("bytes", 64 << 20))
    }
    for key, value in out.items():
        if value < 1:
            raise ConfigurationError(f"repeats.{key} is below 1: {value}")
    if out["copies"] > MAX_COPIES:
        raise ConfigurationError(f"repeats.copies is above {MAX_COPIES}: {out['copies']}")
    if out["copies"] > 1 and peers is None:
        raise ConfigurationError(f"repeats.copies is {out['copies']}, and there are no peers to hold them")
    out["sync"] = part(repeats, "sync", bool, True)
    out["keep"] = out.pop("keep_ms") * 1000
    out["folder"] = part(repeats, "folder", str)
    return out


RECOVERY = {"folder", "open_ms", "list_ms"}


def recovery_of(told):
    """The part on starts by steps, None where there is none."""
    recovery = part(told, "recovery", dict, {})
    if not recovery:
        return None
    for key in recovery:
        if key not in RECOVERY:
            raise ConfigurationError(f"recovery.{key} is unknown")
    out = {"folder": part(recovery, "folder", str)}
    for key, absent in (("open_ms", 5_000), ("list_ms", 60_000)):
        value = part(recovery, key, int, absent)
        if not 100 <= value <= 600_000:
            raise ConfigurationError(f"recovery.{key} is not from 100 to 600000: {value}")
        out[key.removesuffix("_ms")] = value * 1000
    if not out["folder"]:
        raise ConfigurationError("recovery.folder is empty")
    return out


def folders_differ(out):
    """Each part locks its folder for itself."""
    seen = {}
    for name in ("peers", "repeats", "recovery"):
        folder = out[name] and os.path.abspath(out[name]["folder"])
        if folder in seen:
            raise ConfigurationError(f"{name}.folder is the same as {seen[folder]}.folder: {folder}")
        if folder:
            seen[folder] = name


def load_configuration(path, env):
    """A plain map of all that the program is told; the environment stands in for what the file leaves out."""
    try:
        with open(path, "rb") as file:
            told = orjson.loads(file.read())
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path} is no JSON: {error}") from None
    if not isinstance(told, dict):
        raise ConfigurationError(f"{path} holds no object")
    try:
        out = {"name": part(told, "name", str, env.get("GW_NAME", "dispatcher"))}
        for name, variable in (("listen", "GW_LISTEN"), ("discovery", "GW_DISCOVERY")):
            out[name] = address_of(part(told, name, str, env.get(variable)))
        # For operators alone; absent there is no such address.
        control = part(told, "control", str, env.get("GW_CONTROL") or "")
        out["control"] = address_of(control) if control else None
        if out["control"] == out["listen"]:
            raise ConfigurationError(f"control is the same address as listen: {control}")
        out["seed"] = seed_of(part(told, "seed", str))
        limits = part(told, "limits", dict, {})
        out["sockets"] = int(part(limits, "sockets", int, 1024))
        out["memory"] = part(limits, "memory_mb", int, 256) << 20
        out["known"] = part(told, "known", dict, {})
        out["document"] = part(told, "settings", dict)
        out["settings"] = parse_settings(flatten_settings(out["document"]))
        taken = {key: out[key] for key in ("listen", "control", "discovery")}
        out["peers"] = peers_of(told, out["name"], taken)
        out["repeats"] = repeats_of(told, out["peers"])
        out["recovery"] = recovery_of(told)
        folders_differ(out)
    except ValueError as error:  # bad settings and addresses are such
        raise ConfigurationError(f"{path}: {error}") from None
    return out
