"""The configuration that a member is created with."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberConfiguration:
    """The member's name, the configured members, and the initial values of a new fleet.

    `members` is {name: address}. `settings` and `lease_us` apply to a fleet that this member bootstraps,
    which requires `may_bootstrap`. `seed` seeds the random draws. `new_incarnation` and `new_fleet` are
    unique random names, used when a new incarnation or fleet begins.
    """

    name: str
    members: dict[str, str]
    may_bootstrap: bool
    settings: dict
    lease_us: int
    new_incarnation: str
    new_fleet: str
    seed: int
