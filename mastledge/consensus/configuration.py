"""What a member is told when it is made."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberConfiguration:
    """The member's name, its fleet as the configuration names it, and random names for new ones.

    `members` are {name: address}; `settings` and `lease_us` are those of a fleet that begins here, which only
    happens where `may_bootstrap` is set. `seed` makes the random draws. `new_incarnation` and `new_fleet` are
    names that no process had before, taken where a new incarnation or fleet begins.
    """

    name: str
    members: dict[str, str]
    may_bootstrap: bool
    settings: dict
    lease_us: int
    new_incarnation: str
    new_fleet: str
    seed: int
