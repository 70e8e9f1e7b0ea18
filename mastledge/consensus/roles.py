"""The roles of raft, and how far a member that starts has come."""

from enum import StrEnum


class Role(StrEnum):
    """Raft's role of a member (Ongaro 2014, 3.3)."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Phase(StrEnum):
    """Whether a member takes part in its fleet yet."""

    DISCOVERING = "discovering"  # asks the others what they know of this incarnation
    WITHOUT_FLEET = "without fleet"
    PARTICIPATING = "participating"
