"""Placement of keys: which dispatchers are replicas of a key, as committed by the fleet.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998): each
dispatcher has a weight for each key, and the dispatchers of the highest weight are its replicas. So a
dispatcher that joins or leaves moves only the keys that it holds. While replicas change, a quorum is a
majority of both the current and the next replicas of the key, as in Raft's joint consensus (Ongaro 2014,
4.3).

Ids are those of data directories: a directory that is lost and created again has a new id.
"""

from collections.abc import Collection, Container
from functools import lru_cache
from hashlib import blake2b

import msgspec

NO_PLACEMENT = {"epoch": 0, "count": 1, "now": {}, "next": None, "caught": []}


@lru_cache(maxsize=1024)
def _salt(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=16).digest()


def heaviest(names: Collection[str], tenant: str, key: bytes, count: int) -> list[str]:
    """Return the `count` names of the highest weight for a key, or all names if there are fewer."""
    if len(names) <= count:
        return list(names)
    hashed = b"%s %s" % (tenant.encode(), key)
    by_weight = sorted((blake2b(hashed, digest_size=8, salt=_salt(name)).digest(), name) for name in names)
    return [name for _, name in by_weight[-count:]]


def majority(dispatcher_count: int, replica_count: int) -> int:
    """Return the size of a majority of a key's replicas, which are never more than the dispatchers."""
    return min(replica_count, dispatcher_count) // 2 + 1


class ReplicaSet(msgspec.Struct, frozen=True):
    """The replicas of one key; `directory_ids` has all dispatchers of the placement, by name."""

    directory_ids: dict[str, str]
    names: list[str]
    majority: int


class KeyReplicas:
    """The replicas of one key: one set, or the current and the next set while replicas change."""

    __slots__ = ("sets", "names")

    def __init__(self, sets: list[ReplicaSet]):
        """Take the sets in order, the current one first."""
        self.sets = sets
        self.names = (
            sets[0].names
            if len(sets) == 1
            else list(dict.fromkeys(name for replicas in sets for name in replicas.names))
        )

    def is_quorum(self, acknowledged: dict[str, str]) -> bool:
        """Return whether `acknowledged` (directory ids by name) has a majority of each set."""
        for replicas in self.sets:
            directory_ids = replicas.directory_ids
            count = sum(acknowledged.get(name) == directory_ids[name] for name in replicas.names)
            if count < replicas.majority:
                return False
        return True

    def is_possible_without(self, rejected: Container[str]) -> bool:
        """Return whether a quorum is still possible without the names in `rejected`."""
        return all(
            sum(name not in rejected for name in replicas.names) >= replicas.majority
            for replicas in self.sets
        )


class Placement:
    """A committed placement: the epoch, and the dispatchers that hold keys in it."""

    def __init__(self, state: dict | None = None):
        """Read the state that the fleet has committed, or None if there is none yet:

        {"epoch", "count", "now": {name: id}, "next": {name: id} or None, "caught": [name], "starts": {name:
        n}}, and "after" if the number of replicas of each key changes.
        """
        state = state or NO_PLACEMENT
        self.epoch: int = state["epoch"]
        self.current: dict[str, str] = state["now"]
        self.next: dict[str, str] | None = state["next"]
        self.caught_up: set[str] = set(state["caught"])
        self.replica_count: int = state["count"]
        self.next_replica_count: int = state.get("after", self.replica_count)

    def _dispatchers_and_counts(self) -> list[tuple[dict[str, str], int]]:
        current = (self.current, self.replica_count)
        return [current] if self.next is None else [current, (self.next, self.next_replica_count)]

    def replicas_of(self, tenant: str, key: bytes) -> KeyReplicas:
        """Return the replicas of one key."""
        return KeyReplicas(
            [
                ReplicaSet(ids, heaviest(ids, tenant, key, count), majority(len(ids), count))
                for ids, count in self._dispatchers_and_counts()
            ]
        )

    def is_next_replica(self, name: str, tenant: str, key: bytes) -> bool:
        """Return whether this dispatcher is a replica of the key after the change."""
        directory_ids, count = self._dispatchers_and_counts()[-1]
        return name in heaviest(directory_ids, tenant, key, count)

    def is_current_replica(self, name: str, tenant: str, key: bytes) -> bool:
        """Return whether this dispatcher was a replica of the key before the change."""
        return name in heaviest(self.current, tenant, key, self.replica_count)

    def max_unread_replicas(self) -> int:
        """Return how many current dispatchers a new replica may leave unread.

        The others still include a majority of the replicas of each key.
        """
        return min(self.replica_count, len(self.current)) - majority(len(self.current), self.replica_count)

    def keeps_records(self, name: str, directory_id: str) -> bool:
        """Return whether the records of this dispatcher stay valid after the change.

        If the number of replicas stays the same and each new replica catches up, a majority of the next
        replicas has whatever a majority of the current ones had, so replicas that stay need not read again.
        With another number of replicas the majority has another size, and all replicas have to read.
        """
        return (
            self.next_replica_count == self.replica_count
            and self.current.get(name) == directory_id
            and len(self.current) >= self.replica_count
            and len(self.next) >= self.replica_count
        )
