"""One worker as this dispatcher's sockets know it."""


class WorkerEndpoint:
    """The address of a worker and the idle connections to it. Decisions name the worker by this object."""

    __slots__ = ("id", "address", "idle", "started_at", "state", "excluded")

    def __init__(self, worker_id: str, excluded: bool = False) -> None:
        """`excluded`: an operator keeps new jobs from it."""
        self.id, self.excluded = worker_id, excluded
        self.address = None
        self.idle = []  # (connection, the task that watches it), the one used last at the end
        self.started_at = 0  # of its incarnation, in microseconds of the monotonic clock; 0 where not known
        self.state = "ready"

    def incarnation(self) -> tuple:
        """What a launch is decided for: the list may name another one while its connection comes up."""
        return self.state, self.address, self.started_at

    def __str__(self) -> str:
        """The worker's id, the same at all dispatchers: they agree on homes for keys by it."""
        return self.id
