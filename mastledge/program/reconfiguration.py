"""Reload of the configuration and change of settings without a restart."""

from mastledge.program.resource_limits import allowed_descriptors
from mastledge.program.settings_views import settings_for_decisions, settings_for_edges
from mastledge.routing.events import SettingsChanged

NEEDS_RESTART = ("name", "listen", "control")


class Reconfiguration:
    """Owns the configuration in force. Workers, jobs and learned state survive each change."""

    def __init__(self, dispatcher, configuration: dict, read_configuration=None):
        """Start with `configuration`.

        `read_configuration` returns a newly read configuration, or raises ValueError or OSError.
        """
        self._dispatcher, self._read_configuration = dispatcher, read_configuration
        self.configuration = configuration
        # In microseconds; the maximum over all settings so far.
        self.longest_walltime = longest_walltime(configuration["settings"])

    def reload(self) -> None:
        """Reload the configuration and apply what needs no restart; an invalid one changes nothing."""
        dispatcher = self._dispatcher
        try:
            loaded = self._read_configuration()
            allowed_descriptors(loaded["sockets"])
            self.configuration["sockets"], self.configuration["memory"] = loaded["sockets"], loaded["memory"]
            dispatcher.resources.resize(loaded["sockets"], loaded["memory"])
        except Exception as error:
            # An error in a replaced configuration file must not stop a serving process.
            dispatcher.log("configuration_rejected", why=str(error) or type(error).__name__)
            return
        dispatcher.discovery.move(loaded["discovery"])
        settings_changed = self._take_over_settings(loaded)
        dispatcher.log(
            "configuration_loaded",
            discovery=loaded["discovery"],
            sockets=loaded["sockets"],
            settings=settings_changed,
            needs_restart=[key for key in NEEDS_RESTART if loaded[key] != self.configuration[key]],
        )

    def _take_over_settings(self, loaded):
        """Apply changed settings and return whether they changed.

        A fleet uses its committed settings instead.
        """
        if self._dispatcher.fleet is None:
            changed = loaded["settings"] != self.configuration["settings"]
            if changed:
                self.apply_settings(loaded["settings"])
            return changed
        current, new = self.configuration["document"], loaded["document"]
        if current != new:
            # Tell the operators that the changed settings in the file have no effect.
            differs = sorted(key for key in {*current, *new} if current.get(key) != new.get(key))
            reason = "a fleet uses its committed settings; change them with: fleet settings FILE"
            self._dispatcher.log("settings_ignored", differs=differs, why=reason)
        return False

    def apply_settings(self, settings: dict) -> None:
        """Apply other settings to the running dispatcher.

        Jobs refer to their queue type by its index. The listener is configured and the event queued in one
        turn of the event loop, so the scheduler gets each job under the settings with which it was parsed.
        """
        dispatcher = self._dispatcher
        self.configuration["settings"] = settings
        connection_settings = settings_for_edges(settings)
        zones, kinds = dispatcher.discovery.configure(connection_settings)
        settings = with_discovery_numbers(settings_for_decisions(settings), zones, kinds)
        # Open jobs keep the walltime of the settings under which they arrived.
        self.longest_walltime = max(self.longest_walltime, longest_walltime(settings))
        dispatcher.listener.configure(connection_settings)
        dispatcher.workers.configure(settings)
        dispatcher.takeover.workers.configure(settings)
        dispatcher.inbox.put(SettingsChanged(settings))
        if settings["follow"] == "pushed":
            dispatcher.discovery.follow()


def longest_walltime(settings: dict) -> int:
    """Return the longest walltime of all queue types, in microseconds."""
    return max(queue_type["walltime"] for queue_type in settings["queue_types"])


def with_discovery_numbers(settings: dict, zones: list[int], kinds: list[int]) -> dict:
    """Return the settings with zones and kinds replaced by the numbers that discovery assigns."""
    if settings["zone"] < len(zones):
        settings["zone"] = zones[settings["zone"]]
    for queue_type in settings["queue_types"]:
        if 0 <= queue_type["kind"] < len(kinds):
            queue_type["kind"] = kinds[int(queue_type["kind"])]
    return settings
