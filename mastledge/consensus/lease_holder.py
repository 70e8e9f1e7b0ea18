"""The lease that this member holds, and from which entry on its state is in force."""

from mastledge.consensus.leases import shortest_lease_us


class LeaseHolder:
    """Times are those of the own clock, in whole microseconds."""

    def __init__(self):
        """Begin without a lease."""
        self.latest_grant = 0  # the latest time from which a lease was granted here
        # What another process has applied that acts on this state as well; the host sets it.
        self.standby_index: int | None = None
        self.clear()

    def clear(self) -> None:
        """Hold no lease. A relay's children may go on holding those that came through here."""
        self.lease_until = 0
        self.in_force_index = 0  # up to which entry each holder of a lease has applied the log
        self.in_force_by = 0  # when that reaches what is committed, at the latest

    def record_in_force(self, index: int, by: int) -> None:
        """The state is in force up to an entry, and all that is committed will be by then."""
        self.in_force_index = max(self.in_force_index, index)
        self.in_force_by = by

    def extend(self, granted_from: int, lease_us: int) -> None:
        """Hold a lease that runs from a time."""
        self.lease_until = max(self.lease_until, granted_from + shortest_lease_us(lease_us))

    def accept_grant(self, granted_from: int, lease_us: int) -> None:
        """Hold a lease that the leader or a relay has granted, and that may be passed on."""
        self.extend(granted_from, lease_us)
        self.latest_grant = max(self.latest_grant, granted_from)
