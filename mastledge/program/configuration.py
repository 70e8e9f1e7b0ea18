"""The configuration of one dispatcher, from a JSON file with defaults from environment variables."""

import os
from collections.abc import Mapping

import orjson

from mastledge.program.settings import flatten_settings, parse_settings
from mastledge.transport.connection import address_of

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 256
DEFAULT_LEASE_MS = 2000
# A shorter lease lapses when a busy machine delays heartbeats. After the loss of a dispatcher, changes come
# into force only when its lease has ended: a longer one delays them for too long.
MIN_LEASE_MS, MAX_LEASE_MS = 500, 60_000
DEFAULT_KEEP_MS = 60_000
DEFAULT_KEY_ENTRIES = 100_000
DEFAULT_KEY_BYTES = 64 << 20
# The largest number of voters: further replicas cost more, but the fleet survives no more failures.
MAX_COPIES = 7
DEFAULT_RAMP_MS = 5_000
DEFAULT_LIST_VALID_MS = 60_000
MIN_RECOVERY_MS, MAX_RECOVERY_MS = 100, 600_000
US_PER_MS = 1000

PEERS_KEYS = {"listen", "members", "folder", "form", "lease_ms", "without_lease", "registry", "fleet"}
REPEATS_KEYS = {"keep_ms", "copies", "entries", "bytes", "folder", "sync"}
RECOVERY_KEYS = {"folder", "open_ms", "list_ms"}
PARTS_WITH_FOLDERS = ("peers", "repeats", "recovery")


class ConfigurationError(ValueError):
    """The configuration is invalid; the message is one line for the operator."""


def load_configuration(path: str, environment: Mapping[str, str]) -> dict:
    """Return the complete configuration as a plain dict; times are in microseconds.

    Raise ConfigurationError if the file cannot be read or a value is invalid; the message names file and key.
    """
    document = read_document(path)
    try:
        configuration = parse_dispatcher(document, environment)
        addresses = {key: configuration[key] for key in ("listen", "control", "discovery")}
        configuration["peers"] = parse_peers(document, configuration["name"], addresses)
        configuration["repeats"] = parse_repeats(document, configuration["peers"])
        configuration["recovery"] = parse_recovery(document)
        require_distinct_folders(configuration)
    except ValueError as error:  # also raised for invalid settings and addresses
        raise ConfigurationError(f"{path}: {error}") from None
    return configuration


def read_document(path: str) -> dict:
    """Return the JSON object in a file; raise ConfigurationError if there is none."""
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigurationError(f"{path} is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigurationError(f"{path} does not contain a JSON object")
    return document


def value_of(document: dict, key: str, kind: type, default=None):
    """Return the value of a key, or the default if the key is absent.

    Raise ConfigurationError if both are absent or the value has another type.
    """
    value = default if document.get(key) is None else document[key]
    if value is None:
        raise ConfigurationError(f"{key} is missing")
    if not isinstance(value, kind):
        raise ConfigurationError(f"{key} cannot be read: {value!r}")
    return value


def require_known_keys(part: dict, name: str, known: set[str]) -> None:
    """Raise ConfigurationError for the first unknown key of a part; `name` is the part's name."""
    for key in part:
        if key not in known:
            raise ConfigurationError(f"{name}.{key} is unknown")


def parse_seed(text: str) -> int:
    """Return the seed from hexadecimal text; raise ConfigurationError if it is invalid."""
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigurationError(f"seed cannot be read: {text!r}") from None


def parse_dispatcher(document: dict, environment: Mapping[str, str]) -> dict:
    """Return the configuration that every dispatcher has: name, addresses, limits and settings."""
    configuration = {"name": value_of(document, "name", str, environment.get("GW_NAME", "dispatcher"))}
    for key, variable in (("listen", "GW_LISTEN"), ("discovery", "GW_DISCOVERY")):
        configuration[key] = address_of(value_of(document, key, str, environment.get(variable)))
    # The operators' address is optional.
    control = value_of(document, "control", str, environment.get("GW_CONTROL") or "")
    configuration["control"] = address_of(control) if control else None
    if configuration["control"] == configuration["listen"]:
        raise ConfigurationError(f"control has the same address as listen: {control}")
    configuration["seed"] = parse_seed(value_of(document, "seed", str))
    limits = value_of(document, "limits", dict, {})
    configuration["sockets"] = int(value_of(limits, "sockets", int, DEFAULT_SOCKETS))
    configuration["memory"] = value_of(limits, "memory_mb", int, DEFAULT_MEMORY_MB) << 20
    configuration["known"] = value_of(document, "known", dict, {})
    configuration["document"] = value_of(document, "settings", dict)
    configuration["settings"] = parse_settings(flatten_settings(configuration["document"]))
    return configuration


def parse_peers(document: dict, name: str, addresses: dict) -> dict | None:
    """Return the configuration of the fleet, None without `peers`.

    `addresses` maps the dispatcher's other addresses by key; `peers.listen` must differ from them.
    """
    part = value_of(document, "peers", dict, {})
    if not part:
        return None
    require_known_keys(part, "peers", PEERS_KEYS)
    peers = {
        "members": value_of(part, "members", dict),
        "folder": value_of(part, "folder", str),
        "form": value_of(part, "form", bool, False),
        "lease_ms": value_of(part, "lease_ms", int, DEFAULT_LEASE_MS),
        "without_lease": value_of(part, "without_lease", str, "reject"),
        "registry": value_of(part, "registry", str, ""),
        "fleet": value_of(part, "fleet", str, ""),
    }
    peers["listen"] = address_of(value_of(part, "listen", str))
    for key, address in addresses.items():
        if peers["listen"] == address:
            raise ConfigurationError(f"peers.listen is the same address as {key}: {part['listen']}")
    require_valid_members(peers["members"], name)
    lease_ms = peers.pop("lease_ms")
    if not MIN_LEASE_MS <= lease_ms <= MAX_LEASE_MS:
        raise ConfigurationError(f"peers.lease_ms is not from {MIN_LEASE_MS} to {MAX_LEASE_MS}: {lease_ms}")
    peers["lease"] = lease_ms * US_PER_MS
    if peers["without_lease"] not in ("reject", "serve"):
        raise ConfigurationError(
            f"peers.without_lease is neither reject nor serve: {peers['without_lease']!r}"
        )
    if not peers["folder"]:
        raise ConfigurationError("peers.folder is empty")
    return peers


def require_valid_members(members: dict, name: str) -> None:
    """Raise ConfigurationError unless names and addresses are valid and distinct, and `name` is a member."""
    by_address = {}
    for member, address in members.items():
        if not member or not isinstance(address, str):
            raise ConfigurationError(f"peers.members cannot be read: {member!r}")
        address_of(address)
        if address in by_address:
            both = f"{by_address[address]} and {member}"
            raise ConfigurationError(f"peers.members has two members with the same address: {both}")
        by_address[address] = member
    if name not in members:
        raise ConfigurationError(f"name is not one of peers.members: {name!r}")


def parse_repeats(document: dict, peers: dict | None) -> dict | None:
    """Return the configuration of idempotency keys, None without `repeats`."""
    part = value_of(document, "repeats", dict, {})
    if not part:
        return None
    require_known_keys(part, "repeats", REPEATS_KEYS)
    repeats = {
        "keep_ms": value_of(part, "keep_ms", int, DEFAULT_KEEP_MS),
        "copies": value_of(part, "copies", int, 1),
        "entries": value_of(part, "entries", int, DEFAULT_KEY_ENTRIES),
        "bytes": value_of(part, "bytes", int, DEFAULT_KEY_BYTES),
    }
    for key, value in repeats.items():
        if value < 1:
            raise ConfigurationError(f"repeats.{key} is below 1: {value}")
    copies = repeats["copies"]
    if copies > MAX_COPIES:
        raise ConfigurationError(f"repeats.copies is above {MAX_COPIES}: {copies}")
    if copies > 1 and peers is None:
        raise ConfigurationError(
            f"repeats.copies is {copies}, but no peers are configured to hold the replicas"
        )
    repeats["sync"] = value_of(part, "sync", bool, True)
    repeats["keep"] = repeats.pop("keep_ms") * US_PER_MS
    repeats["folder"] = value_of(part, "folder", str)
    return repeats


def parse_recovery(document: dict) -> dict | None:
    """Return the configuration of staged startup, None without `recovery`."""
    part = value_of(document, "recovery", dict, {})
    if not part:
        return None
    require_known_keys(part, "recovery", RECOVERY_KEYS)
    recovery = {"folder": value_of(part, "folder", str)}
    for key, default in (("open_ms", DEFAULT_RAMP_MS), ("list_ms", DEFAULT_LIST_VALID_MS)):
        value = value_of(part, key, int, default)
        if not MIN_RECOVERY_MS <= value <= MAX_RECOVERY_MS:
            bounds = f"from {MIN_RECOVERY_MS} to {MAX_RECOVERY_MS}"
            raise ConfigurationError(f"recovery.{key} is not {bounds}: {value}")
        recovery[key.removesuffix("_ms")] = value * US_PER_MS
    if not recovery["folder"]:
        raise ConfigurationError("recovery.folder is empty")
    return recovery


def require_distinct_folders(configuration: dict) -> None:
    """Raise ConfigurationError if two parts have the same folder, which each of them locks."""
    by_folder = {}
    for name in PARTS_WITH_FOLDERS:
        if configuration[name] is None:
            continue
        folder = os.path.abspath(configuration[name]["folder"])
        if folder in by_folder:
            raise ConfigurationError(f"{name}.folder is the same as {by_folder[folder]}.folder: {folder}")
        by_folder[folder] = name
