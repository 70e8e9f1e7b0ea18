"""From the settings that an instance is given to the plain map that the decisions are handed.

They come nested, as JSON, or as pairs of path and text; either way each is looked up by its path.
"""


class SettingError(ValueError):
    """A required setting is missing or unreadable; the text names its key."""


def us(text):
    return round(figure(text) * 1000)


def figure(text):
    value = float(text)
    if not 0 <= value < 1e15:
        raise ValueError(text)
    return value


def count(text):
    if int(text) < 1:
        raise ValueError(text)
    return int(text)


def flag(text):
    if text not in ("true", "false", True, False):
        raise ValueError(text)
    return text in ("true", True)


def words(text):
    return [word for word in text.split(",") if word] if isinstance(text, str) else list(text)


def numbers(text):
    return [float(word) for word in words(text)]


REQUIRED = object()

# ours: (the wire's path, how its text is read, what stands in when it is absent)
PLAIN = {
    "dispatchers": ("balancers", count, REQUIRED),
    "me": ("me", int, REQUIRED),
    "zones": ("zones", words, ()),
    "kinds": ("kinds", words, ()),
    "zone": ("locality", int, 0),
    "step": ("stepMs", us, REQUIRED),
    "follow": ("discovery", str, REQUIRED),
    "excess_utility": ("excessUtility", figure, 1.0),
    "utility_basis": ("utilityBasis", str, "request"),
    "tells_start": ("familyInfo.tellsStart", flag, False),
    "progress_every": ("familyInfo.progressMs", us, 0),
    "queue_order": ("familyInfo.queueOrder", str, "fifo"),
    "may_revoke": ("limits.cancel", flag, False),
    "may_probe": ("limits.mayProbe", flag, False),
    "may_message": ("limits.peerMessages", flag, False),
    "may_hold_off": ("limits.retryAfter", flag, False),
    "most_hold_off": ("limits.maxRetryAfterMs", us, 0),
    "parallel": ("limits.parallelTries", flag, False),
    "launches": ("limits.maxLaunches", count, REQUIRED),
    "most_held": ("limits.mostHeld", int, 20_000),
    "conn_idle": ("limits.connIdleMs", us, 5_000_000),
    "connect_timeout": ("limits.connectTimeoutMs", us, 250_000),
    "cpu_a_second": ("limits.cpuUsPerS", figure, 0.0),
    "cpu_a_job": ("limits.cpuUsPerRequest", figure, 0.0),
    "answer_slack": ("rules.answerSlackMs", us, 0),
    "ask_within": ("rules.askWithinMs", us, 0),
    "cold_from": ("rules.coldFrom", figure, REQUIRED),
    "cold_for": ("rules.coldMs", us, REQUIRED),
    "fall_for": ("rules.fallMs", us, REQUIRED),
    "fall_multiple": ("rules.fallMultiple", figure, REQUIRED),
    "grace": ("rules.stopSendingWithinMs", us, REQUIRED),
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
    "target": ("targetTurnaroundMs", us, REQUIRED),
    "walltime": ("walltimeMs", us, REQUIRED),
    "effect": ("idempotency", str, REQUIRED),
    "group": ("dedupScope", str, "all"),
    "window": ("windowMs", us, 0),
    "utility": ("utility", figure, 1.0),
    "late_utility": ("overdueUtility", figure, 0.0),
    "aim_stretch": ("aimStretch", figure, 0.0),
}
TENANT = {"name": ("name", str, ""), "portion": ("portion", figure, 0.0), "quota": ("quotaPerS", figure, 0.0)}
EFFECT = {"pure": "restartable", "token": "deduplicated", "side_effect": "run-once"}
REPORT = {
    "outstanding": "outstanding",
    "backlog": "backlog",
    "utilization": "busy",
    "x0": "free_slots",
    "x1": "free_memory",
}


def read(pairs, path, kind, absent):
    text = pairs.get(path)
    if text is None:
        if absent is REQUIRED:
            raise SettingError(f"setting {path} is missing")
        return absent
    try:
        return kind(text)
    except (TypeError, ValueError, OverflowError):
        raise SettingError(f"setting {path} cannot be read: {text!r}") from None


def listed(pairs, path, table):
    return [
        {ours: read(pairs, f"{path}.{i}.{name}", *how) for ours, (name, *how) in table.items()}
        for i in range(read(pairs, f"{path}.count", int, 0))
    ]


def flatten_settings(nested, path=""):
    """Paths and values of nested JSON, as the pairs have them: a list of objects by count and place."""
    pairs = {}
    for name, value in nested.items():
        here = f"{path}{name}"
        if isinstance(value, dict):
            pairs.update(flatten_settings(value, here + "."))
        elif isinstance(value, list) and (not value or all(isinstance(item, dict) for item in value)):
            pairs[here], pairs[here + ".count"] = [], len(value)
            for n, item in enumerate(value):
                pairs.update(flatten_settings(item, f"{here}.{n}."))
        else:
            pairs[here] = value
    return pairs


def parse_pairs(text):
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def parse_settings(pairs):
    settings = {ours: read(pairs, *how) for ours, how in PLAIN.items()}
    settings["follow"] = {"pushed": "pushed", "on_request": "asked"}.get(settings["follow"])
    if settings["follow"] is None:
        raise SettingError(f"setting discovery cannot be read: {pairs['discovery']!r}")
    settings["report_fields"] = [REPORT.get(name, name) for name in settings["report_fields"]]
    settings["tenants"] = listed(pairs, "tenants", TENANT)
    settings["queue_types"] = types = listed(pairs, "queueTypes", QUEUE_TYPE)
    if not types:
        raise SettingError("setting queueTypes.count is missing or 0")
    a_type = {
        name: read(pairs, f"familyInfo.{name}", numbers, [])
        for name in ("classKind", "classPriority", "classStretch")
    }
    for i, qt in enumerate(types):
        # Types are told from those of other settings by their names.
        qt["name"] = qt["name"] or f"{i}"
        if any(qt["name"] == other["name"] for other in types[:i]):
            raise SettingError(f"setting queueTypes.{i}.name stands twice: {qt['name']!r}")
        if qt["effect"] not in EFFECT:
            raise SettingError(f"setting queueTypes.{i}.idempotency cannot be read: {qt['effect']!r}")
        if qt["group"] not in ("all", "zone", "cell"):
            raise SettingError(f"setting queueTypes.{i}.dedupScope cannot be read: {qt['group']!r}")
        qt["effect"] = EFFECT[qt["effect"]]
        for ours, name, absent in (
            ("kind", "classKind", -1),
            ("priority", "classPriority", 0),
            ("stretch", "classStretch", qt.pop("aim_stretch") or 0.0),
        ):
            qt[ours] = a_type[name][i] if i < len(a_type[name]) else absent
    return settings
