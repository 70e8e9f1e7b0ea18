"""The lease that this member holds, and the entry up to which the committed state is in force."""

from mastledge.consensus.leases import shortest_lease_us


class LeaseHolder:
    """The lease and the in-force index of this member; times are by the local clock, in microseconds."""

    def __init__(self):
        """Initialize without a lease."""
        self.latest_grant = 0  # the latest start of a lease granted to this member
        # Applied index of another process that acts on this state too, set by the host; None without one.
        self.standby_index: int | None = None
        self.clear()

    def clear(self) -> None:
        """Give up the lease. Leases that this member has passed on to relay children stay valid."""
        self.lease_until = 0
        self.in_force_index = 0  # every lease holder has applied the log up to here
        self.in_force_by = 0  # latest time at which in_force_index reaches the commit index

    def record_in_force(self, index: int, by: int) -> None:
        """Record that the state is in force up to `index`, and everything committed will be at time `by`."""
        self.in_force_index = max(self.in_force_index, index)
        self.in_force_by = by

    def extend(self, granted_from: int, lease_us: int) -> None:
        """Hold a lease that starts at `granted_from`."""
        self.lease_until = max(self.lease_until, granted_from + shortest_lease_us(lease_us))

    def accept_grant(self, granted_from: int, lease_us: int) -> None:
        """Hold a lease granted by the leader or a relay, which may be passed on to relay children."""
        self.extend(granted_from, lease_us)
        self.latest_grant = max(self.latest_grant, granted_from)
