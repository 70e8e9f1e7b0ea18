"""The roles of raft, and the startup phases of a member."""

from enum import StrEnum


class Role(StrEnum):
    """The raft role of a member (Ongaro 2014, 3.3)."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Phase(StrEnum):
    """How far a starting member has come towards taking part in its fleet."""

    DISCOVERING = "discovering"  # asking the other members what they know of this incarnation
    WITHOUT_FLEET = "without fleet"
    PARTICIPATING = "participating"
