"""Descriptors shared out over clients, workers and discovery, and memory for what clients send.

Kinds of connections are "clients", "workers", "discovery" and "operators", each with a limit. Idle ones
are closed to make place for new ones: group after group and, within a group, the longest idle first.
"""

from collections.abc import Callable, Hashable

RESERVED_DESCRIPTORS = (
    16  # standard streams, epoll, wake-up, listener, and a few to answer with when all is full
)
OPERATOR_CONNECTIONS = 12  # which clients cannot use up
OPERATOR_DESCRIPTORS = (
    4  # beside the connections: their listener and epoll, the files shared with another process
)
MIN_CONNECTIONS = 8
# Idle groups of clients: no request yet, part of a request, between two requests, and a request on its way.
CLIENT_EVICTION_ORDER = ("unused", "unfinished", "clients", "begun")
EVICTION_ORDER = {
    "clients": CLIENT_EVICTION_ORDER,
    "workers": ("workers",),
    "discovery": (),
    "operators": (),
}
# Where the system itself has no descriptor left.
SHORTAGE_EVICTION_ORDER = ("unused", "unfinished", "workers", "clients", "begun")


class Budget:
    """Counts open connections by kind and bytes of requests, and evicts idle connections."""

    def __init__(self, descriptors: int, memory_bytes: int, operators: bool = False) -> None:
        """`operators`: descriptors are set aside for a listener of the operators' API."""
        self.operators = OPERATOR_CONNECTIONS if operators else 0
        self.resize(descriptors, memory_bytes)
        self.request_bytes = 0
        self.used = dict.fromkeys(self.limits, 0)
        self.idle = {group: {} for group in SHORTAGE_EVICTION_ORDER}

    def resize(self, descriptors: int, memory_bytes: int) -> None:
        """Sets the limits anew; what is open beyond them stays open."""
        # A body is held once as it came and once on its way to a worker, in buffers that grow by doubling.
        self.max_request_bytes = memory_bytes // 8
        reserved = RESERVED_DESCRIPTORS + (self.operators and self.operators + OPERATOR_DESCRIPTORS)
        total = max(MIN_CONNECTIONS, descriptors - reserved)
        # A client in hand needs a worker's connection, and some of those are still ending their last answer.
        clients = total * 12 // 25
        self.limits = {
            "clients": clients,
            "workers": total - clients,
            "discovery": 2,
            "operators": self.operators,
        }

    def evict_excess(self) -> None:
        """Closes idle connections beyond the limits; the others end by themselves."""
        for kind, limit in self.limits.items():
            while self.used[kind] > limit and self.evict(*EVICTION_ORDER[kind]):
                pass

    def is_exhausted(self, kind: str, spare: int = RESERVED_DESCRIPTORS // 4) -> bool:
        """Whether even the few that are answered although the budget is used up are too many."""
        return self.used[kind] >= self.limits[kind] + spare and not self.evict(*EVICTION_ORDER[kind])

    def acquire(self, kind: str) -> bool:
        """Whether one more may be opened; the one of its kind that has been idle longest goes for it."""
        if self.used[kind] >= self.limits[kind] and not self.evict(*EVICTION_ORDER[kind]):
            return False
        self.used[kind] += 1
        return True

    def release(self, kind: str) -> None:
        """Gives back what `acquire` took."""
        self.used[kind] -= 1

    def reserve_memory(self, size_bytes: int) -> bool:
        """Whether there is memory for so much of a request; those that never become whole go for it."""
        while self.request_bytes + size_bytes > self.max_request_bytes:
            if not self.evict("unfinished", "begun"):
                return False
        self.request_bytes += size_bytes
        return True

    def release_memory(self, size_bytes: int) -> None:
        """Gives back what `reserve_memory` took."""
        self.request_bytes -= size_bytes

    def add_idle(self, group: str, connection: Hashable, close: Callable[[], bool]) -> None:
        """Lets a connection be evicted: `close` tells whether it has closed it."""
        self.idle[group][connection] = close

    def remove_idle(self, group: str, connection: Hashable) -> bool:
        """Ends what `add_idle` began; whether the connection was in this group."""
        return self.idle[group].pop(connection, None) is not None

    def evict(self, *groups: str) -> bool:
        """Closes the longest idle connection of these groups; one that will not close now is passed over."""
        for group in groups:
            for connection, close in list(self.idle[group].items()):
                if close():
                    self.idle[group].pop(connection, None)
                    return True
        return False
