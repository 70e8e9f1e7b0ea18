"""Limits on the file descriptors and the memory of this process."""

import resource


def allowed_descriptors(wanted: int) -> int:
    """Raise the process's descriptor limit towards `wanted`; return how many descriptors it may use."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


class ResourceLimits:
    """Divides the configured limits between the processes of one dispatcher.

    Descriptors for files and for links between dispatchers are reserved; the rest is the budget for
    connections.
    """

    def __init__(self, budget, sockets: int, memory_bytes: int):
        """Create limits; `sockets` and `memory_bytes` apply to all processes of the dispatcher together."""
        self._budget = budget
        self._sockets, self._memory_bytes = sockets, memory_bytes
        self._reserved, self._processes = 0, 1

    def reserve(self, descriptors: int) -> None:
        """Reserve further descriptors, which the connections' budget then lacks."""
        self._reserved += descriptors
        self._apply()

    def resize(self, sockets: int, memory_bytes: int) -> None:
        """Set new limits for the whole dispatcher."""
        self._sockets, self._memory_bytes = sockets, memory_bytes
        self._apply()

    def divide(self, processes: int) -> None:
        """Divide the limits equally between this many processes."""
        self._processes = processes
        self._apply()

    def _apply(self):
        descriptors = allowed_descriptors(self._sockets) // self._processes - self._reserved
        self._budget.resize(descriptors, self._memory_bytes // self._processes)
        self._budget.evict_excess()
