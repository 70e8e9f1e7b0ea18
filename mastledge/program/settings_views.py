"""The settings as the parts of a dispatcher get them."""

import time
from copy import deepcopy


def settings_for_edges(settings: dict) -> dict:
    """What listeners, discovery and connections to workers need of the settings."""
    return {
        "queue_types": [dict(queue_type) for queue_type in settings["queue_types"]],
        "tenants": [tenant["name"] for tenant in settings["tenants"]],
        "zones": settings["zones"],
        "kinds": settings["kinds"],
        "most_held": settings["most_held"],
        "dispatchers": settings["dispatchers"],
        "asked": settings["follow"] == "asked",
        "hold_off": settings["most_hold_off"] if settings["may_hold_off"] else 0,
        "unix_now": time.time_ns() // 1000,
    }


def settings_for_decisions(settings: dict) -> dict:
    """A copy that the decisions may write to. No load message is carried here, so they send none."""
    return {**deepcopy(settings), "may_message": False}
