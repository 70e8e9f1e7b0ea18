"""Errors in stored or received recovery data. Each message is one line for operators."""


class RecoveryError(ValueError):
    """Base class of this package's errors."""


class ClockError(RecoveryError):
    """The age of a record cannot be determined from the current clocks."""


class RecoveryRecordError(RecoveryError):
    """A record is malformed or was written by a later version."""


class MessageError(RecoveryError):
    """A message from another dispatcher cannot be decoded."""


class SnapshotError(RecoveryError):
    """A fleet snapshot is damaged, incomplete or of another format."""


class FleetStartRefusedError(RecoveryError):
    """This member may not start a new fleet."""
