"""Who may hear from whom: the levels of a fleet with relays.

Voters are the first level. Below them the followers form levels, each `fan_out` times as wide as the one
above; who stands in one level hears from one member of the level above.
"""

from zlib import crc32


class RelayTree:
    """By the members alone, so that it is the same at each member."""

    def __init__(self, members: dict[str, dict], fan_out: int):
        """Make the levels of these members."""
        self.fan_out = fan_out
        voters = sorted(name for name, member in members.items() if member["votes"])
        followers = sorted(set(members) - set(voters), key=lambda name: (crc32(name.encode()), name))
        self.levels: list[list[str]] = [voters]
        while followers:
            width = max(1, len(self.levels[-1])) * fan_out
            self.levels.append(followers[:width])
            followers = followers[width:]
        self.places: dict[str, tuple[int, int]] = {
            name: (level, place)
            for level, names in enumerate(self.levels)
            for place, name in enumerate(names)
        }
        self._latest: dict[tuple[str, str | None], list[str]] = {}

    def level(self, name: str) -> int:
        """Return 0 for voters and for who is no member, 1 for those who hear from voters, and so on."""
        return self.places.get(name, (0, 0))[0]

    def relays(self, name: str, leader: str | None) -> list[str]:
        """Return those from whom a follower may hear, the first to be tried first."""
        if (name, leader) not in self._latest:
            self._latest = {(name, leader): self._relays_of(name, leader)}
        return self._latest[name, leader]

    def _relays_of(self, name: str, leader: str | None) -> list[str]:
        level, place = self.places.get(name, (0, 0))
        above = self.levels[level - 1] if level else []
        if not above:
            return []
        first = above[place % len(above)]
        others = sorted(
            (other for other in above if other != first),
            key=lambda other: (crc32(f"{other} {name}".encode()), other),
        )
        # The leader has the voters to speak to, and another one takes its place.
        return [other for other in (first, *others) if other != leader] or [first]


class EffectiveTree:
    """The tree of the members as they are, made anew when they change."""

    def __init__(self):
        """Begin without a tree."""
        self._members: dict[str, dict] | None = None
        self._tree = RelayTree({}, 0)

    def of(self, members: dict[str, dict], fan_out: int) -> RelayTree:
        """Return the tree; `members` is the same object for as long as they are the same."""
        if self._members is not members or self._tree.fan_out != fan_out:
            self._members, self._tree = members, RelayTree(members, fan_out)
        return self._tree
