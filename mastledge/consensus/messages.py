"""Messages between members. Times are whole microseconds of the sender's clock unless noted.

On the wire a message is a list: its tag, then its fields in the order below. Field names may change, their
order may not. New fields are added at the end with a default, as older versions neither send nor read them.
"""

import msgspec

VERSION = 1  # of the messages; members with another version are not connected to


class Entry(msgspec.Struct, array_like=True):
    """A log entry: the term in which it was appended, the id of its proposal, and the change."""

    term: int
    id: str
    change: dict


class Message(msgspec.Struct, array_like=True):
    """Base class of messages. The `tag` of a subclass is its name on the wire and must not change."""


class DiscoverRequest(Message, tag="Ask"):
    """A starting member asks another one for its fleet and for what it has observed of the sender.

    `members_digest` identifies the list of configured members. `term`, `last_term` and `last_index` are the
    sender's persisted state.
    """

    fleet: str
    empty: bool
    may_bootstrap: bool
    members_digest: int
    term: int = 0
    last_term: int = 0
    last_index: int = 0


class DiscoverResponse(Message, tag="Told"):
    """The answer: the fleet, and the highest term and log position observed of the asking incarnation."""

    fleet: str
    empty: bool
    may_bootstrap: bool
    members_digest: int
    is_member: bool = True
    observed_term: int = 0
    observed_last_term: int = 0
    observed_last_index: int = 0


class BootstrapCluster(Message, tag="Form"):
    """Bootstraps a fleet: its initial state, which contains the incarnations of its members."""

    fleet: str
    state: dict


class VoteRequest(Message, tag="Poll"):
    """Raft's RequestVote; with `pre_vote`, the receiver answers whether it would vote and changes nothing."""

    term: int
    last_term: int
    last_index: int
    pre_vote: bool


class VoteResponse(Message, tag="Ballot"):
    """The answer to a vote request."""

    term: int
    granted: bool
    pre_vote: bool


class AppendEntries(Message, tag="Append"):
    """Raft's AppendEntries: entries after `prev_index`, the commit index, and a lease grant.

    `sent_at` is the leader's time, which the receiver sends back. `lease_grant` is the time on the receiver's
    clock from which its lease runs, 0 for none; it is valid once the receiver has applied `commit_index`.
    `in_force_in_us` is the longest time until all committed entries are in force, 0 if they are.
    `observed` is what the voters' disks must hold: (incarnation, term, last term, last index) by name.
    `leader` is the leader's name in a message that a relay passes on, "" from the leader itself.
    `list_generations` is the latest endpoint list generation that the sender knows, by registry.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit_index: int
    sent_at: int
    lease_grant: int
    in_force_index: int
    in_force_in_us: int
    observed: dict[str, tuple[str, int, int, int]] = {}
    restrictions: list["WorkerRestrictions"] = []
    leader: str = ""
    list_generations: dict[str, int] = {}


class AppendResponse(Message, tag="Ack"):
    """The answer to AppendEntries and InstallSnapshot.

    `persisted_index` is on the sender's disk; `applied_index` is applied by the sender and by its relay
    children that may hold a lease. `sent_at` is the leader's time sent back, `clock` the sender's time. After
    a refusal, the entries after `commit_index` are sent. `process_id` identifies the process of the member; 0
    if its version does not support relays.
    """

    term: int
    success: bool
    persisted_index: int
    persisted_term: int
    applied_index: int
    sent_at: int
    clock: int
    commit_index: int = 0
    process_id: int = 0
    list_generations: dict[str, int] = {}


class InstallSnapshot(Message, tag="Install"):
    """Raft's InstallSnapshot, for a member behind the leader's log: the state as of entry `last_index`."""

    term: int
    last_index: int
    last_term: int
    state: dict
    sent_at: int
    leader: str = ""


class Propose(Message, tag="Propose"):
    """A change that a follower forwards to the leader; a repeated id is applied once."""

    id: str
    change: dict


class TimeoutNow(Message, tag="Lead"):
    """Raft's TimeoutNow: makes the receiver campaign at once, to transfer leadership (Ongaro 2014, 3.10)."""

    term: int


class WorkerRestrictions(Message, tag="News"):
    """Workers that a registry's list of this generation shows as draining or gone: (id, state).

    With `since`, only the changes after that generation, including workers that are ready again; 0: all
    restricted workers.
    """

    registry: str
    generation: int
    workers: list[tuple[str, str]]
    since: int = 0


AnyMessage = (
    DiscoverRequest
    | DiscoverResponse
    | BootstrapCluster
    | VoteRequest
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | InstallSnapshot
    | Propose
    | TimeoutNow
    | WorkerRestrictions
)
encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(AnyMessage).decode
