"""Heartbeats and election timeouts, which all parts of a member go by; times are whole microseconds."""

HEARTBEATS_PER_LEASE = 10  # of the leader to voters
LEARNER_HEARTBEATS_PER_LEASE = 4  # to those that do not vote
MIN_ELECTION_TIMEOUT, MAX_ELECTION_TIMEOUT = 2, 4  # heartbeats without the leader until a voter campaigns
LOST_AFTER_HEARTBEATS = 2 * MAX_ELECTION_TIMEOUT  # without a message, after which a member counts as away
SOON_US = 1_000  # what goes on at once does so after this, so that no step follows another without a pause
