"""The settings that a fleet agrees on, completed by what is a dispatcher's own, and put in force here."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from mastledge.program.settings import flatten_settings, parse_settings

if TYPE_CHECKING:
    from mastledge.program.dispatcher import Dispatcher

OWN_SETTINGS = ("me", "locality")  # that stand in each dispatcher's file


def shared_settings(document: dict[str, Any]) -> dict[str, Any]:
    """The settings of a document that a fleet agrees on."""
    return {name: value for name, value in document.items() if name not in OWN_SETTINGS}


class AgreedSettings:
    """Reads the settings of an agreed state, and has the program go by them."""

    def __init__(self, program: "Dispatcher", document: dict[str, Any], log: Callable[..., None]) -> None:
        """`document` has this dispatcher's own settings, `log` takes an event and its fields."""
        self.program, self.log = program, log
        self.own = {name: document[name] for name in OWN_SETTINGS if name in document}
        self.unreadable_reason = ""  # why the settings of now cannot be read here, "" where they can

    def complete(self, document: dict[str, Any], state: dict[str, Any]) -> dict[str, Any]:
        """The settings of this dispatcher in a fleet of that state; `ValueError` names a key that is bad."""
        # A member more takes its part before it may act, one less gives it up later: parts never sum to more
        # than all.
        members = len(state["members"]) + len(state["gone"]) if state else 0
        pairs = flatten_settings({**document, **self.own})
        pairs["balancers"] = max(int(pairs.get("balancers", 1)), members)
        return parse_settings(pairs)

    def apply(self, state: dict[str, Any]) -> bool:
        """Put an agreed state in force here; whether that could be done."""
        try:
            settings = self.complete(state["settings"], state)
        except ValueError as error:
            # Read well where it was proposed, so this program is of another version: better nothing than half
            # of it.
            version = state["settings_version"]
            self.unreadable_reason = f"cannot read settings of version {version}: {error}"
            self.log("fleet_settings_unreadable", why=self.unreadable_reason)
            self.program.lease_lapsed()
            return False
        self.unreadable_reason = ""
        self.program.apply_committed(settings, state)
        return True
