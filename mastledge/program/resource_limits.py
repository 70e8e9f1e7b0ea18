"""Descriptors and memory that this process may use."""

import resource


def allowed_descriptors(wanted: int) -> int:
    """As many descriptors as wanted or as the system grants; raises the limit of the process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        soft = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


class ResourceLimits:
    """Divides what the configuration allows between two processes of one dispatcher.

    Descriptors that files and links between dispatchers need are reserved; the rest is the budget of the
    connections.
    """

    def __init__(self, budget, sockets: int, memory_bytes: int):
        """`sockets`, `memory_bytes`: for the whole dispatcher, however many processes it has."""
        self._budget = budget
        self._sockets, self._memory_bytes = sockets, memory_bytes
        self._reserved, self._processes = 0, 1

    def reserve(self, descriptors: int) -> None:
        """Keeps more descriptors out of the budget of the connections."""
        self._reserved += descriptors
        self._apply()

    def resize(self, sockets: int, memory_bytes: int) -> None:
        """Other limits for the whole dispatcher."""
        self._sockets, self._memory_bytes = sockets, memory_bytes
        self._apply()

    def divide(self, processes: int) -> None:
        """From here on the dispatcher consists of so many processes, which share alike."""
        self._processes = processes
        self._apply()

    def _apply(self):
        descriptors = allowed_descriptors(self._sockets) // self._processes - self._reserved
        self._budget.resize(descriptors, self._memory_bytes // self._processes)
        self._budget.evict_excess()
