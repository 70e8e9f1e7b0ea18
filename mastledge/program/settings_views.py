"""The settings in the forms that the parts of a dispatcher take."""

import time
from copy import deepcopy


def settings_for_edges(settings: dict) -> dict:
    """Return the settings that the listeners, discovery and the worker connections need."""
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
    """Return a copy that the scheduler may modify, with load messages off, as the program carries none."""
    return {**deepcopy(settings), "may_message": False}
