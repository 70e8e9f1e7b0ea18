"""What goes wrong in the package, each kind with what it happened to."""

from enum import IntEnum


class ConsensusError(Exception):
    """The base of all errors of this package."""


class RefusalStatus(IntEnum):
    """The status of the HTTP answer to who proposed a change that is refused."""

    ALREADY_SO = 200  # the state is as asked for
    INVALID = 400
    CONFLICT = 409
    OTHER_VERSION = 412  # of the settings than the one that was expected


class ChangeRefusedError(ConsensusError):
    """A committed change does not fit the state that it meets; it changes nothing."""

    def __init__(self, reason: str, status: RefusalStatus):
        """Say why, and with which status."""
        super().__init__(reason)
        self.reason, self.status = reason, int(status)


class UnknownChangeError(ConsensusError, ValueError):
    """A committed change is of a kind that this version does not know."""


class RecordError(ConsensusError, ValueError):
    """A record of the write-ahead log is unknown or cannot follow those before it."""


class SettingsPatchError(ConsensusError, ValueError):
    """A patch names a place that the settings do not have."""
