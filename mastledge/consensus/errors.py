"""What goes wrong in the package, each kind with what it happened to."""


class ConsensusError(Exception):
    """The base of all errors of this package."""


class ChangeRefusedError(ConsensusError):
    """A committed change does not fit the state that it meets; it changes nothing.

    `status` is that of the HTTP answer to who proposed it: 200 where the state is already as asked for.
    """

    def __init__(self, reason: str, status: int):
        """Say why, and with which status."""
        super().__init__(reason)
        self.reason, self.status = reason, status


class UnknownChangeError(ConsensusError, ValueError):
    """A committed change is of a kind that this version does not know."""


class RecordError(ConsensusError, ValueError):
    """A record of the write-ahead log is unknown or cannot follow those before it."""


class SettingsPatchError(ConsensusError, ValueError):
    """A patch names a place that the settings do not have."""
