"""Limits on open connections by kind and on the memory for client requests.

The kinds are "clients", "workers", "discovery" and "operators". Idle connections are evicted to make room for
new ones, group by group and, within a group, the longest idle first.
"""

from collections.abc import Callable, Hashable

# For standard streams, epoll, wake-up, listener, and a few to reject clients over budget.
RESERVED_DESCRIPTORS = 16
OPERATOR_CONNECTIONS = 12  # reserved, so that clients cannot use them up
# In addition to the connections: listener, epoll, and files shared with another process.
OPERATOR_DESCRIPTORS = 4
MIN_CONNECTIONS = 8
# Client connections without any request, with its first piece only, between requests, and receiving one.
CLIENT_EVICTION_ORDER = ("unused", "unfinished", "clients", "begun")
EVICTION_ORDER = {
    "clients": CLIENT_EVICTION_ORDER,
    "workers": ("workers",),
    "discovery": (),
    "operators": (),
}
# If the system itself has no descriptor left.
SHORTAGE_EVICTION_ORDER = ("unused", "unfinished", "workers", "clients", "begun")


class Budget:
    """Counts open connections by kind and the bytes of requests, and evicts idle connections."""

    def __init__(self, descriptors: int, memory_bytes: int, operators: bool = False) -> None:
        """`operators`: descriptors are reserved for the listener of the operator API."""
        self.operators = OPERATOR_CONNECTIONS if operators else 0
        self.resize(descriptors, memory_bytes)
        self.request_bytes = 0
        self.used = dict.fromkeys(self.limits, 0)
        self.idle = {group: {} for group in SHORTAGE_EVICTION_ORDER}

    def resize(self, descriptors: int, memory_bytes: int) -> None:
        """Set new limits; connections beyond them stay open."""
        # A body is held twice, as received and as sent to a worker, each in a buffer that grows by doubling.
        self.max_request_bytes = memory_bytes // 8
        reserved = RESERVED_DESCRIPTORS + (self.operators and self.operators + OPERATOR_DESCRIPTORS)
        total = max(MIN_CONNECTIONS, descriptors - reserved)
        # Each client job needs a worker connection, and some of these are still reading their last answer.
        clients = total * 12 // 25
        self.limits = {
            "clients": clients,
            "workers": total - clients,
            "discovery": 2,
            "operators": self.operators,
        }

    def evict_excess(self) -> None:
        """Close idle connections beyond the limits; busy ones are left to end."""
        for kind, limit in self.limits.items():
            while self.used[kind] > limit and self.evict(*EVICTION_ORDER[kind]):
                pass

    def is_exhausted(self, kind: str, spare: int = RESERVED_DESCRIPTORS // 4) -> bool:
        """Return whether limit and `spare` are used up and no idle connection could be evicted.

        The spare connections beyond the limit are those whose requests are rejected.
        """
        return self.used[kind] >= self.limits[kind] + spare and not self.evict(*EVICTION_ORDER[kind])

    def acquire(self, kind: str) -> bool:
        """Reserve a connection, evicting the longest idle one if needed; return whether it succeeded."""
        if self.used[kind] >= self.limits[kind] and not self.evict(*EVICTION_ORDER[kind]):
            return False
        self.used[kind] += 1
        return True

    def unused_connections(self) -> int:
        """Return how many more connections fit into all limits together, at least 0."""
        return max(0, sum(self.limits.values()) - sum(self.used.values()))

    def release(self, kind: str) -> None:
        """Release a connection reserved by `acquire`."""
        self.used[kind] -= 1

    def reserve_memory(self, size_bytes: int) -> bool:
        """Reserve memory for a request, evicting partial requests if needed; return whether it succeeded."""
        while self.request_bytes + size_bytes > self.max_request_bytes:
            if not self.evict("unfinished", "begun"):
                return False
        self.request_bytes += size_bytes
        return True

    def release_memory(self, size_bytes: int) -> None:
        """Release memory reserved by `reserve_memory`."""
        self.request_bytes -= size_bytes

    def add_idle(self, group: str, connection: Hashable, close: Callable[[], bool]) -> None:
        """Make a connection evictable; `close` returns whether it closed the connection."""
        self.idle[group][connection] = close

    def remove_idle(self, group: str, connection: Hashable) -> bool:
        """Undo `add_idle` and return whether the connection was in this group."""
        return self.idle[group].pop(connection, None) is not None

    def evict(self, *groups: str) -> bool:
        """Close the longest idle connection of these groups that can be closed; return whether one was."""
        for group in groups:
            for connection, close in list(self.idle[group].items()):
                if close():
                    self.idle[group].pop(connection, None)
                    return True
        return False
