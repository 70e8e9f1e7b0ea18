"""What can go wrong with stored or received recovery data. Each message is one line for operators."""


class RecoveryError(ValueError):
    """The root of this package's errors."""


class ClockError(RecoveryError):
    """The age of a record can't be known by the clocks of now."""


class RecoveryRecordError(RecoveryError):
    """A record that makes no sense, or is of a later version."""


class MessageError(RecoveryError):
    """A message of another dispatcher that can't be read."""


class SnapshotError(RecoveryError):
    """A fleet snapshot that can't be used."""


class FleetStartRefusedError(RecoveryError):
    """No new fleet may begin here."""
