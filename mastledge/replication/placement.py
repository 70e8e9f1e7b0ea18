"""Which dispatchers are replicas of a key, by what the fleet has committed.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998): each
dispatcher has a weight for each key, the heaviest are its replicas, and who comes or goes moves only its own
keys. While replicas change a quorum is a majority of both the current and the next ones of the key, as in
Raft's joint consensus (Ongaro 2014, 4.3).

Ids are of data directories: one that is lost and begun anew has another id.
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
    """The `count` names of the highest weight for a key; all, where there are no more."""
    if len(names) <= count:
        return list(names)
    weighed = b"%s %s" % (tenant.encode(), key)
    by_weight = sorted((blake2b(weighed, digest_size=8, salt=_salt(name)).digest(), name) for name in names)
    return [name for _, name in by_weight[-count:]]


def majority(dispatcher_count: int, replica_count: int) -> int:
    """How many of a key's replicas are a majority, where so many dispatchers hold all keys."""
    return min(replica_count, dispatcher_count) // 2 + 1


class ReplicaSet(msgspec.Struct, frozen=True):
    """The replicas of one key by one placement; `directory_ids` are of all dispatchers of the placement."""

    directory_ids: dict[str, str]
    names: list[str]
    majority: int


class KeyReplicas:
    """The replicas of one key: one set, or the current and the next one while replicas change."""

    __slots__ = ("sets", "names")

    def __init__(self, sets: list[ReplicaSet]):
        """The current set first."""
        self.sets = sets
        self.names = (
            sets[0].names
            if len(sets) == 1
            else list(dict.fromkeys(name for replicas in sets for name in replicas.names))
        )

    def is_quorum(self, acknowledged: dict[str, str]) -> bool:
        """Whether these (ids by name) are a majority of each set."""
        for replicas in self.sets:
            directory_ids = replicas.directory_ids
            count = sum(acknowledged.get(name) == directory_ids[name] for name in replicas.names)
            if count < replicas.majority:
                return False
        return True

    def is_possible_without(self, rejected: Container[str]) -> bool:
        """Whether a quorum is possible without these names."""
        return all(
            sum(name not in rejected for name in replicas.names) >= replicas.majority
            for replicas in self.sets
        )


class Placement:
    """A committed version of the placement: the epoch, and who holds keys by it."""

    def __init__(self, state: dict | None = None):
        """`state` is what the fleet has committed, None before that:

        {"epoch", "count", "now": {name: id}, "next": {name: id} or None, "caught": [name], "starts": {name:
        n}}, and "after" where the next replicas are to be another count for each key.
        """
        state = state or NO_PLACEMENT
        self.epoch: int = state["epoch"]
        self.current: dict[str, str] = state["now"]
        self.next: dict[str, str] | None = state["next"]
        self.caught_up: set[str] = set(state["caught"])
        self.replica_count: int = state["count"]
        self.next_replica_count: int = state.get("after", self.replica_count)

    def _counted(self) -> list[tuple[dict[str, str], int]]:
        current = (self.current, self.replica_count)
        return [current] if self.next is None else [current, (self.next, self.next_replica_count)]

    def replicas_of(self, tenant: str, key: bytes) -> KeyReplicas:
        """The replicas of one key."""
        return KeyReplicas(
            [
                ReplicaSet(ids, heaviest(ids, tenant, key, count), majority(len(ids), count))
                for ids, count in self._counted()
            ]
        )

    def is_next_replica(self, name: str, tenant: str, key: bytes) -> bool:
        """Whether this dispatcher is a replica of the key once the change is over."""
        directory_ids, count = self._counted()[-1]
        return name in heaviest(directory_ids, tenant, key, count)

    def is_current_replica(self, name: str, tenant: str, key: bytes) -> bool:
        """Whether this dispatcher was a replica of the key before the change."""
        return name in heaviest(self.current, tenant, key, self.replica_count)

    def spare_replicas(self) -> int:
        """So many of the current dispatchers may go unread: of each key a majority is among the others."""
        return min(self.replica_count, len(self.current)) - majority(len(self.current), self.replica_count)

    def keeps_records(self, name: str, directory_id: str) -> bool:
        """Whether what this dispatcher has of its keys counts on after the change.

        Of each key a majority of the next replicas has what a majority of the current ones had, if each new
        one reads it and there are as many: who stays need not read what it had missed. Fewer replicas have no
        majority of a key by what they had, more have a majority of another size.
        """
        return (
            self.next_replica_count == self.replica_count
            and self.current.get(name) == directory_id
            and len(self.current) >= self.replica_count
            and len(self.next) >= self.replica_count
        )
