"""Spans and counts by which members speak, wait and vote; times are whole microseconds."""

BEATS = 10  # of the leader to voters in the time of a lease
SLOW_BEATS = 4  # to those that do not vote
NEWS = 3_000_000  # for which news of workers are passed on, after which who told them says them again
FEW, MANY = 2, 4  # beats without a word of the leader after which a voter would have another one
ASKS = 100_000  # between two times that a member asks the others at its start
ASKED_AT_ONCE = 16  # of the members that do not vote, in turn
FRESH = 10 * ASKS  # a word of another member about itself, from which a fleet may be formed
AGAIN = 200_000  # a change whose fate is not known is handed in once more
MENDS = 1_000_000  # between two tries of a disk that has failed
WAITING = 64  # changes of the members that wait for the one before
COMPACT = 512  # entries behind a snapshot, after which there is another
FOLLOWER, CANDIDATE, LEADER = "follower", "candidate", "leader"
ASKING, EMPTY, PART = "asking", "empty", "part"  # of a fleet, once what the others know of this one is known
