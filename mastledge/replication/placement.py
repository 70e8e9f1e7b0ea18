"""Which dispatchers hold a key, by what the fleet has agreed on.

Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998): each
holder has a weight for each key, the heaviest hold it, and who comes or goes moves only the keys that are its
own. While holders change an operation needs a majority of both the old and the new ones of its key, as
members that change do in Raft by joint consensus (Ongaro 2014, 4.3).
"""

from functools import lru_cache
from hashlib import blake2b


@lru_cache(maxsize=1024)
def salt(name):
    return blake2b(name.encode(), digest_size=16).digest()


def ranked(names, tenant, key, count):
    """The `count` heaviest of the names for a key."""
    if len(names) <= count:
        return list(names)
    about = b"%s %s" % (tenant.encode(), key)
    weighed = sorted((blake2b(about, digest_size=8, salt=salt(name)).digest(), name) for name in names)
    return [name for _, name in weighed[-count:]]


def quorum(names, count):
    """How many of a key's holders are a majority, where `names` hold all keys between them."""
    return min(count, len(names)) // 2 + 1


class Share:
    """Who holds one key: ids, names and majority of the old holders, and of the new while they change."""

    __slots__ = ("sets", "names")

    def __init__(self, sets):
        self.sets = sets
        self.names = (
            sets[0][1]
            if len(sets) == 1
            else list(dict.fromkeys(name for _, some, _ in sets for name in some))
        )

    def enough(self, acks):
        """Whether these holders {name: id} are a majority; of the old and the new ones while they change."""
        return all(
            sum(acks.get(name) == ids[name] for name in names) >= wanted for ids, names, wanted in self.sets
        )

    def possible(self, against):
        """Whether a majority can still be had without those in `against`."""
        return all(sum(name not in against for name in names) >= wanted for _, names, wanted in self.sets)


class Placement:
    """`state`: what the fleet has agreed of it, None where nobody holds anything yet.

    {"epoch", "count", "now": {name: id}, "next": {name: id} or None, "caught": [name], "starts": {name: n}},
    and "after" where the next holders are to be another count for each key. An id tells one folder of a
    holder from a later, empty one.
    """

    def __init__(self, state=None):
        state = state or {"epoch": 0, "count": 1, "now": {}, "next": None, "caught": []}
        self.epoch, self.count, self.caught = state["epoch"], state["count"], set(state["caught"])
        self.now, self.next = state["now"], state["next"]
        self.after = state.get("after", self.count)

    def sets(self):
        """[(holders, how many of them hold a key)]."""
        now = (self.now, self.count)
        return [now] if self.next is None else [now, (self.next, self.after)]

    def share(self, tenant, key):
        """The holders of one key."""
        return Share(
            [(ids, ranked(ids, tenant, key, count), quorum(ids, count)) for ids, count in self.sets()]
        )

    def holds(self, name, tenant, key):
        """Whether this one is a holder of the key from the next epoch on."""
        ids, count = self.sets()[-1]
        return name in ranked(ids, tenant, key, count)

    def held(self, name, tenant, key):
        """Whether it was a holder of the key before the holders began to change."""
        return name in ranked(self.now, tenant, key, self.count)

    def spare(self):
        """So many of the old holders may go unasked: of each key a majority is among the others."""
        return min(self.count, len(self.now)) - quorum(self.now, self.count)
