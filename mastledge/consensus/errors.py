"""Errors of the consensus package."""

from enum import IntEnum


class ConsensusError(Exception):
    """Base class of all errors of this package."""


class RefusalStatus(IntEnum):
    """HTTP status returned to the client that proposed a refused change."""

    ALREADY_APPLIED = 200  # the state is already as requested
    INVALID = 400
    CONFLICT = 409
    VERSION_MISMATCH = 412  # the settings are not at the expected version


class ChangeRefusedError(ConsensusError):
    """A committed change conflicts with the current state and is not applied."""

    def __init__(self, reason: str, status: RefusalStatus):
        """Initialize with the reason and the HTTP status."""
        super().__init__(reason)
        self.reason, self.status = reason, int(status)


class UnknownChangeError(ConsensusError, ValueError):
    """A committed change has a kind that this version does not know."""


class RecordError(ConsensusError, ValueError):
    """A write-ahead log record has an unknown form or does not follow the records before it."""


class SettingsPatchError(ConsensusError, ValueError):
    """A patch refers to a path that does not exist in the settings."""
