"""The tree of relays: which members may relay for which followers.

Voters form level 0. The followers form further levels, each `fan_out` times as wide as the level above; each
member of a level uses one member of the level above as its relay.
"""

from typing import NamedTuple
from zlib import crc32


class Place(NamedTuple):
    """The position of a member in the tree: its level, 0 for voters, and its index within the level."""

    level: int
    position: int


DEFAULT_PLACE = Place(0, 0)  # also used for names that are not members


class RelayTree:
    """The levels of a fleet; they depend only on the members, so every member computes the same tree."""

    def __init__(self, members: dict[str, dict], fan_out: int):
        """Compute the levels of these members."""
        self.fan_out = fan_out
        voters = sorted(name for name, member in members.items() if member["votes"])
        followers = sorted(set(members) - set(voters), key=lambda name: (crc32(name.encode()), name))
        self.levels: list[list[str]] = [voters]
        while followers:
            width = max(1, len(self.levels[-1])) * fan_out
            self.levels.append(followers[:width])
            followers = followers[width:]
        self.places: dict[str, Place] = {
            name: Place(level, position)
            for level, names in enumerate(self.levels)
            for position, name in enumerate(names)
        }
        self._cached_relays: dict[tuple[str, str | None], list[str]] = {}  # of the latest (name, leader)

    def level(self, name: str) -> int:
        """Return the level of a member; 0 for voters and for names that are not members."""
        return self.places.get(name, DEFAULT_PLACE).level

    def relays(self, name: str, leader: str | None) -> list[str]:
        """Return the relays that a follower may use, the preferred one first."""
        if (name, leader) not in self._cached_relays:
            self._cached_relays = {(name, leader): self._relays_of(name, leader)}
        return self._cached_relays[name, leader]

    def _relays_of(self, name: str, leader: str | None) -> list[str]:
        level, position = self.places.get(name, DEFAULT_PLACE)
        above = self.levels[level - 1] if level else []
        if not above:
            return []
        preferred = above[position % len(above)]
        others = sorted(
            (other for other in above if other != preferred),
            key=lambda other: (crc32(f"{other} {name}".encode()), other),
        )
        # The leader already sends to the voters, so it serves as a relay only if there is no other.
        return [other for other in (preferred, *others) if other != leader] or [preferred]


class EffectiveTree:
    """The relay tree of the current members, recomputed when the members or the fan-out change."""

    def __init__(self):
        """Initialize with an empty tree."""
        self._members: dict[str, dict] | None = None
        self._tree = RelayTree({}, 0)

    def of(self, members: dict[str, dict], fan_out: int) -> RelayTree:
        """Return the tree; `members` must be a new object whenever the members change."""
        if self._members is not members or self._tree.fan_out != fan_out:
            self._members, self._tree = members, RelayTree(members, fan_out)
        return self._tree
