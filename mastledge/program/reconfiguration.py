"""What can change under load: a configuration that is read again, and settings."""

from mastledge.program.resource_limits import allowed_descriptors
from mastledge.program.settings_views import settings_for_decisions, settings_for_edges
from mastledge.routing.events import SettingsChanged

NEEDS_RESTART = ("name", "listen", "control")


class Reconfiguration:
    """Owns the configuration in force. Workers, jobs and what was learned outlast each change of it."""

    def __init__(self, dispatcher, configuration: dict, load_again=None):
        """`load_again` reads the configuration anew; ValueError or OSError where that cannot be."""
        self._dispatcher, self._load_again = dispatcher, load_again
        self.configuration = configuration
        self.longest_walltime = longest_walltime(configuration["settings"])  # us, of all settings so far

    def reload(self) -> None:
        """Reads the configuration again and takes over what needs no restart; a bad one changes nothing."""
        dispatcher = self._dispatcher
        try:
            loaded = self._load_again()
            allowed_descriptors(loaded["sockets"])
            self.configuration["sockets"], self.configuration["memory"] = loaded["sockets"], loaded["memory"]
            dispatcher.resources.resize(loaded["sockets"], loaded["memory"])
        except Exception as error:
            # Whoever replaces a file under load must not end the service with a slip in it.
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
        """Whether other settings are in force now. In a fleet all go by what was committed."""
        if self._dispatcher.fleet is None:
            changed = loaded["settings"] != self.configuration["settings"]
            if changed:
                self.apply_settings(loaded["settings"])
            return changed
        ours, theirs = self.configuration["document"], loaded["document"]
        if ours != theirs:
            # A file that differs is for the operators to know.
            differs = sorted(key for key in {*ours, *theirs} if ours.get(key) != theirs.get(key))
            why = "settings are agreed on: fleet settings FILE"
            self._dispatcher.log("settings_ignored", differs=differs, why=why)
        return False

    def apply_settings(self, settings: dict) -> None:
        """Other settings in the running program, and the same step back.

        Jobs name their queue type by its place. The listener and the queue change in one turn, so each job
        reaches the decisions under the settings by which it was read.
        """
        dispatcher = self._dispatcher
        self.configuration["settings"] = settings
        edges = settings_for_edges(settings)
        zones, kinds = dispatcher.discovery.configure(edges)
        settings = numbered(settings_for_decisions(settings), zones, kinds)
        # Jobs of before may be open for as long as they were promised.
        self.longest_walltime = max(self.longest_walltime, longest_walltime(settings))
        dispatcher.listener.configure(edges)
        dispatcher.workers.configure(settings)
        dispatcher.handoff.workers.configure(settings)
        dispatcher.inbox.put(SettingsChanged(settings))
        if settings["follow"] == "pushed":
            dispatcher.discovery.follow()


def longest_walltime(settings: dict) -> int:
    """The walltime of the queue type that has the longest, in microseconds."""
    return max(queue_type["walltime"] for queue_type in settings["queue_types"])


def numbered(settings: dict, zones: list[int], kinds: list[int]) -> dict:
    """The settings with discovery's numbers of zones and kinds in place of their own."""
    if settings["zone"] < len(zones):
        settings["zone"] = zones[settings["zone"]]
    for queue_type in settings["queue_types"]:
        if 0 <= queue_type["kind"] < len(kinds):
            queue_type["kind"] = kinds[int(queue_type["kind"])]
    return settings
