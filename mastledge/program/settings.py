"""The parser of settings: from a settings document to the plain dict that the scheduler receives.

Settings come as nested JSON or as pairs of path and text; both are looked up by path.
"""


class SettingError(ValueError):
    """A required setting is missing or a setting is invalid; the message names its path."""


def duration_us(text) -> int:
    """Convert a duration from milliseconds to whole microseconds; raise ValueError for an invalid one."""
    return round(non_negative_number(text) * 1000)


def non_negative_number(text) -> float:
    """Return a number from 0 to below NUMBER_LIMIT; raise ValueError otherwise."""
    value = float(text)
    if not 0 <= value < NUMBER_LIMIT:
        raise ValueError(text)
    return value


def positive_integer(text) -> int:
    """Return an integer of at least 1; raise ValueError otherwise."""
    if int(text) < 1:
        raise ValueError(text)
    return int(text)


def boolean(text) -> bool:
    """Return a boolean, given as such or as text; raise ValueError otherwise."""
    if text not in ("true", "false", True, False):
        raise ValueError(text)
    return text in ("true", True)


def string_list(text) -> list[str]:
    """Return a list, given as such or as comma-separated text."""
    return [word for word in text.split(",") if word] if isinstance(text, str) else list(text)


def number_list(text) -> list[float]:
    """Return a list of numbers, given as such or as comma-separated text."""
    return [float(word) for word in string_list(text)]


REQUIRED = object()
NUMBER_LIMIT = 1e15

# key: (path in the document, parser of the value, default)
SCALAR_SETTINGS = {
    "dispatchers": ("balancers", positive_integer, REQUIRED),
    "me": ("me", int, REQUIRED),
    "zones": ("zones", string_list, ()),
    "kinds": ("kinds", string_list, ()),
    "zone": ("locality", int, 0),
    "step": ("stepMs", duration_us, REQUIRED),
    "follow": ("discovery", str, REQUIRED),
    "excess_utility": ("excessUtility", non_negative_number, 1.0),
    "utility_basis": ("utilityBasis", str, "request"),
    "tells_start": ("familyInfo.tellsStart", boolean, False),
    "progress_every": ("familyInfo.progressMs", duration_us, 0),
    "queue_order": ("familyInfo.queueOrder", str, "fifo"),
    "may_revoke": ("limits.cancel", boolean, False),
    "may_probe": ("limits.mayProbe", boolean, False),
    "may_message": ("limits.peerMessages", boolean, False),
    "may_hold_off": ("limits.retryAfter", boolean, False),
    "most_hold_off": ("limits.maxRetryAfterMs", duration_us, 0),
    "parallel": ("limits.parallelTries", boolean, False),
    "launches": ("limits.maxLaunches", positive_integer, REQUIRED),
    "most_held": ("limits.mostHeld", int, 20_000),
    "conn_idle": ("limits.connIdleMs", duration_us, 5_000_000),
    "connect_timeout": ("limits.connectTimeoutMs", duration_us, 250_000),
    "cpu_a_second": ("limits.cpuUsPerS", non_negative_number, 0.0),
    "cpu_a_job": ("limits.cpuUsPerRequest", non_negative_number, 0.0),
    "answer_slack": ("rules.answerSlackMs", duration_us, 0),
    "ask_within": ("rules.askWithinMs", duration_us, 0),
    "cold_from": ("rules.coldFrom", non_negative_number, REQUIRED),
    "cold_for": ("rules.coldMs", duration_us, REQUIRED),
    "fall_for": ("rules.fallMs", duration_us, REQUIRED),
    "fall_multiple": ("rules.fallMultiple", non_negative_number, REQUIRED),
    "grace": ("rules.stopSendingWithinMs", duration_us, REQUIRED),
    "report_how": ("loadInfo.how", str, "silent"),
    "report_fields": ("loadInfo.fields", string_list, ()),
    "price_crossing": ("prices.crossZone", non_negative_number, 0.0),
    "price_peer": ("prices.peer", non_negative_number, 0.0),
    "price_probe": ("prices.probe", non_negative_number, 0.0),
    "price_waste": ("prices.waste", non_negative_number, 0.0),
    "price_late": ("prices.lateFail", non_negative_number, 0.0),
    "tail_part": ("scoreParts.tailPart", non_negative_number, 0.0),
    "borne_misses": ("scoreParts.borneMisses", non_negative_number, 0.0),
}
QUEUE_TYPE = {
    "name": ("name", str, ""),
    "target": ("targetTurnaroundMs", duration_us, REQUIRED),
    "walltime": ("walltimeMs", duration_us, REQUIRED),
    "effect": ("idempotency", str, REQUIRED),
    "group": ("dedupScope", str, "all"),
    "window": ("windowMs", duration_us, 0),
    "utility": ("utility", non_negative_number, 1.0),
    "late_utility": ("overdueUtility", non_negative_number, 0.0),
    "aim_stretch": ("aimStretch", non_negative_number, 0.0),
}
TENANT = {
    "name": ("name", str, ""),
    "portion": ("portion", non_negative_number, 0.0),
    "quota": ("quotaPerS", non_negative_number, 0.0),
}
EFFECTS = {"pure": "restartable", "token": "deduplicated", "side_effect": "run-once"}
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
FOLLOW = {"pushed": "pushed", "on_request": "asked"}
REPORT_FIELDS = {
    "outstanding": "outstanding",
    "backlog": "backlog",
    "utilization": "busy",
    "x0": "free_slots",
    "x1": "free_memory",
}


def read(pairs: dict, path: str, parse, default):
    """Return the parsed value at a path, or the default; raise SettingError, which names the path."""
    text = pairs.get(path)
    if text is None:
        if default is REQUIRED:
            raise SettingError(f"setting {path} is missing")
        return default
    try:
        return parse(text)
    except (TypeError, ValueError, OverflowError):
        raise SettingError(f"setting {path} cannot be read: {text!r}") from None


def read_list(pairs: dict, path: str, table: dict) -> list[dict]:
    """Return the objects of a list, each read by a table of the same form as SCALAR_SETTINGS."""
    return [
        {key: read(pairs, f"{path}.{i}.{name}", *parsing) for key, (name, *parsing) in table.items()}
        for i in range(read(pairs, f"{path}.count", int, 0))
    ]


def flatten_settings(nested: dict, path: str = "") -> dict:
    """Return paths and values of nested JSON; a list of objects becomes a count and paths with an index."""
    pairs = {}
    for name, value in nested.items():
        item_path = f"{path}{name}"
        if isinstance(value, dict):
            pairs.update(flatten_settings(value, item_path + "."))
        elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
            pairs[item_path], pairs[item_path + ".count"] = [], len(value)
            for n, item in enumerate(value):
                pairs.update(flatten_settings(item, f"{item_path}.{n}."))
        else:
            pairs[item_path] = value
    return pairs


def parse_pairs(text: str) -> dict[str, str]:
    """Return paths and values from lines of the form `path=value`."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def parse_settings(pairs: dict) -> dict:
    """Return the settings as the scheduler uses them, durations in microseconds.

    Raise SettingError, which names the path, if a setting is missing or invalid.
    """
    settings = {key: read(pairs, *parsing) for key, parsing in SCALAR_SETTINGS.items()}
    settings["follow"] = FOLLOW.get(settings["follow"])
    if settings["follow"] is None:
        raise SettingError(f"setting discovery cannot be read: {pairs['discovery']!r}")
    settings["report_fields"] = [REPORT_FIELDS.get(name, name) for name in settings["report_fields"]]
    settings["tenants"] = read_list(pairs, "tenants", TENANT)
    settings["queue_types"] = read_list(pairs, "queueTypes", QUEUE_TYPE)
    if not settings["queue_types"]:
        raise SettingError("setting queueTypes.count is missing or 0")
    complete_queue_types(settings["queue_types"], pairs)
    return settings


def complete_queue_types(queue_types: list[dict], pairs: dict) -> None:
    """Set the names, the effects and the values that are listed beside the queue types.

    Raise SettingError, which names the path, if a value is invalid.
    """
    by_index = {
        name: read(pairs, f"familyInfo.{name}", number_list, [])
        for name in ("classKind", "classPriority", "classStretch")
    }
    names = set()
    for i, queue_type in enumerate(queue_types):
        # The name identifies a queue type across a change of settings.
        queue_type["name"] = queue_type["name"] or f"{i}"
        if queue_type["name"] in names:
            raise SettingError(f"setting queueTypes.{i}.name stands twice: {queue_type['name']!r}")
        names.add(queue_type["name"])
        if queue_type["effect"] not in EFFECTS:
            raise SettingError(f"setting queueTypes.{i}.idempotency cannot be read: {queue_type['effect']!r}")
        if queue_type["group"] not in DEDUPLICATION_SCOPES:
            raise SettingError(f"setting queueTypes.{i}.dedupScope cannot be read: {queue_type['group']!r}")
        queue_type["effect"] = EFFECTS[queue_type["effect"]]
        for key, name, default in (
            ("kind", "classKind", -1),
            ("priority", "classPriority", 0),
            ("stretch", "classStretch", queue_type.pop("aim_stretch") or 0.0),
        ):
            queue_type[key] = by_index[name][i] if i < len(by_index[name]) else default
