"""The agreed settings of a fleet, completed with the dispatcher's local settings and applied here."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from mastledge.program.settings import flatten_settings, parse_settings

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

LOCAL_SETTINGS = ("me", "locality")  # read from the configuration file of each dispatcher, not agreed


def shared_settings(document: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a document without the local ones."""
    return {name: value for name, value in document.items() if name not in LOCAL_SETTINGS}


class AgreedSettings:
    """Parses the settings of an agreed state and applies them to the program."""

    def __init__(self, program: "Dispatcher", document: dict[str, Any], log: Callable[..., None]) -> None:
        """Take the local settings from `document`; `log` takes an event and its fields."""
        self.program, self.log = program, log
        self.local_settings = {name: document[name] for name in LOCAL_SETTINGS if name in document}
        self.unreadable_reason = ""  # why the current settings cannot be parsed here, "" if they can

    def complete(self, document: dict[str, Any], state: dict[str, Any]) -> dict[str, Any]:
        """Return this dispatcher's settings in a fleet of that state.

        Raise `ValueError` that names an invalid key.
        """
        # Removed members still count, and added members count before they may act, so that the shares of all
        # dispatchers never sum to more than the whole.
        members = len(state["members"]) + len(state["gone"]) if state else 0
        pairs = flatten_settings({**document, **self.local_settings})
        pairs["balancers"] = max(int(pairs.get("balancers", 1)), members)
        return parse_settings(pairs)

    def apply(self, state: dict[str, Any]) -> bool:
        """Apply an agreed state; if its settings are unreadable, treat the lease as lost and return False."""
        try:
            settings = self.complete(state["settings"], state)
        except ValueError as error:
            # The proposing dispatcher could parse them, so it runs another version of the program. Apply none
            # of the settings rather than some of them.
            version = state["settings_version"]
            self.unreadable_reason = f"cannot read settings of version {version}: {error}"
            self.log("fleet_settings_unreadable", why=self.unreadable_reason)
            self.program.lease_lapsed()
            return False
        self.unreadable_reason = ""
        self.program.apply_committed(settings, state)
        return True
