"""Heartbeat and election timing, shared by all parts of a member; times are whole microseconds."""

HEARTBEATS_PER_LEASE = 10  # from the leader to each voter
LEARNER_HEARTBEATS_PER_LEASE = 4  # to each learner
MIN_ELECTION_TIMEOUT, MAX_ELECTION_TIMEOUT = 2, 4  # heartbeats without the leader until a voter campaigns
LOST_AFTER_HEARTBEATS = 2 * MAX_ELECTION_TIMEOUT  # without a message, after which contact counts as lost
SOON_US = 1_000  # delay of follow-up work, which keeps steps from running in a busy loop
