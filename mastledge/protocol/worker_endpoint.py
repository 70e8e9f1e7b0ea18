"""The network state of one worker."""


class WorkerEndpoint:
    """Holds a worker's address and idle connections. The scheduler identifies the worker by this object."""

    __slots__ = ("id", "address", "idle", "started_at", "state", "excluded")

    def __init__(self, worker_id: str, excluded: bool = False) -> None:
        """`excluded`: an operator has excluded the worker from new jobs."""
        self.id, self.excluded = worker_id, excluded
        self.address = None
        self.idle = []  # (connection, task that watches it), most recently used last
        self.started_at = 0  # of the incarnation, in microseconds of the monotonic clock; 0 if unknown
        self.state = "ready"

    def incarnation(self) -> tuple:
        """Return the incarnation that a launch is decided for; it may change while connecting."""
        return self.state, self.address, self.started_at

    def __str__(self) -> str:
        """Return the worker's id, which all dispatchers use to agree on the home workers of keys."""
        return self.id
