"""From a document of settings to the plain map that the decisions are handed.

They come nested, as JSON, or as pairs of path and text; either way each is looked up by its path.
"""


class SettingError(ValueError):
    """A required setting is missing or unreadable; the text names its key."""


def duration_us(text) -> int:
    """A duration, written in milliseconds, in microseconds."""
    return round(figure(text) * 1000)


def figure(text) -> float:
    """A number that is not negative and not beyond reason; ValueError otherwise."""
    value = float(text)
    if not 0 <= value < FIGURE_LIMIT:
        raise ValueError(text)
    return value


def count(text) -> int:
    """An integer from 1 on; ValueError otherwise."""
    if int(text) < 1:
        raise ValueError(text)
    return int(text)


def flag(text) -> bool:
    """A boolean, also as text; ValueError otherwise."""
    if text not in ("true", "false", True, False):
        raise ValueError(text)
    return text in ("true", True)


def words(text) -> list[str]:
    """A list, as it is or as text with commas."""
    return [word for word in text.split(",") if word] if isinstance(text, str) else list(text)


def numbers(text) -> list[float]:
    """A list of numbers, as it is or as text with commas."""
    return [float(word) for word in words(text)]


REQUIRED = object()
FIGURE_LIMIT = 1e15

# key here: (path in the document, how its text is parsed, default)
PLAIN = {
    "dispatchers": ("balancers", count, REQUIRED),
    "me": ("me", int, REQUIRED),
    "zones": ("zones", words, ()),
    "kinds": ("kinds", words, ()),
    "zone": ("locality", int, 0),
    "step": ("stepMs", duration_us, REQUIRED),
    "follow": ("discovery", str, REQUIRED),
    "excess_utility": ("excessUtility", figure, 1.0),
    "utility_basis": ("utilityBasis", str, "request"),
    "tells_start": ("familyInfo.tellsStart", flag, False),
    "progress_every": ("familyInfo.progressMs", duration_us, 0),
    "queue_order": ("familyInfo.queueOrder", str, "fifo"),
    "may_revoke": ("limits.cancel", flag, False),
    "may_probe": ("limits.mayProbe", flag, False),
    "may_message": ("limits.peerMessages", flag, False),
    "may_hold_off": ("limits.retryAfter", flag, False),
    "most_hold_off": ("limits.maxRetryAfterMs", duration_us, 0),
    "parallel": ("limits.parallelTries", flag, False),
    "launches": ("limits.maxLaunches", count, REQUIRED),
    "most_held": ("limits.mostHeld", int, 20_000),
    "conn_idle": ("limits.connIdleMs", duration_us, 5_000_000),
    "connect_timeout": ("limits.connectTimeoutMs", duration_us, 250_000),
    "cpu_a_second": ("limits.cpuUsPerS", figure, 0.0),
    "cpu_a_job": ("limits.cpuUsPerRequest", figure, 0.0),
    "answer_slack": ("rules.answerSlackMs", duration_us, 0),
    "ask_within": ("rules.askWithinMs", duration_us, 0),
    "cold_from": ("rules.coldFrom", figure, REQUIRED),
    "cold_for": ("rules.coldMs", duration_us, REQUIRED),
    "fall_for": ("rules.fallMs", duration_us, REQUIRED),
    "fall_multiple": ("rules.fallMultiple", figure, REQUIRED),
    "grace": ("rules.stopSendingWithinMs", duration_us, REQUIRED),
    "report_how": ("loadInfo.how", str, "silent"),
    "report_fields": ("loadInfo.fields", words, ()),
    "price_crossing": ("prices.crossZone", figure, 0.0),
    "price_peer": ("prices.peer", figure, 0.0),
    "price_probe": ("prices.probe", figure, 0.0),
    "price_waste": ("prices.waste", figure, 0.0),
    "price_late": ("prices.lateFail", figure, 0.0),
    "tail_part": ("scoreParts.tailPart", figure, 0.0),
    "borne_misses": ("scoreParts.borneMisses", figure, 0.0),
}
QUEUE_TYPE = {
    "name": ("name", str, ""),
    "target": ("targetTurnaroundMs", duration_us, REQUIRED),
    "walltime": ("walltimeMs", duration_us, REQUIRED),
    "effect": ("idempotency", str, REQUIRED),
    "group": ("dedupScope", str, "all"),
    "window": ("windowMs", duration_us, 0),
    "utility": ("utility", figure, 1.0),
    "late_utility": ("overdueUtility", figure, 0.0),
    "aim_stretch": ("aimStretch", figure, 0.0),
}
TENANT = {"name": ("name", str, ""), "portion": ("portion", figure, 0.0), "quota": ("quotaPerS", figure, 0.0)}
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
    """The value at a path, parsed, or its default; SettingError names the path."""
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
    """The objects of a list, each read by a table as PLAIN."""
    return [
        {key: read(pairs, f"{path}.{i}.{name}", *how) for key, (name, *how) in table.items()}
        for i in range(read(pairs, f"{path}.count", int, 0))
    ]


def flatten_settings(nested: dict, path: str = "") -> dict:
    """Paths and values of nested JSON, as the pairs have them: a list of objects by count and place."""
    pairs = {}
    for name, value in nested.items():
        here = f"{path}{name}"
        if isinstance(value, dict):
            pairs.update(flatten_settings(value, here + "."))
        elif isinstance(value, list) and all(isinstance(item, dict) for item in value):
            pairs[here], pairs[here + ".count"] = [], len(value)
            for n, item in enumerate(value):
                pairs.update(flatten_settings(item, f"{here}.{n}."))
        else:
            pairs[here] = value
    return pairs


def parse_pairs(text: str) -> dict[str, str]:
    """Paths and values of lines `path=value`."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def parse_settings(pairs: dict) -> dict:
    """The settings as the decisions know them, durations in microseconds; SettingError names a path."""
    settings = {key: read(pairs, *how) for key, how in PLAIN.items()}
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
    """Names, effects and what stands in lists beside the queue types; SettingError names a path."""
    by_place = {
        name: read(pairs, f"familyInfo.{name}", numbers, [])
        for name in ("classKind", "classPriority", "classStretch")
    }
    names = set()
    for i, queue_type in enumerate(queue_types):
        # Types are told from those of other settings by their names.
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
            queue_type[key] = by_place[name][i] if i < len(by_place[name]) else default
