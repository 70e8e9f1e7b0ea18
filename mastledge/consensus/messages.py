"""Messages between members. Times are whole microseconds of the clock of the member that wrote them.

A message is a list on the wire: its tag, then its fields in the order below, so that names of fields are
free and their order is not. A field is only ever added at the end, with a default, as older versions neither
send nor read it.
"""

import msgspec

VERSION = 1  # of the messages; no other one is spoken to


class Entry(msgspec.Struct, array_like=True):
    """One entry of the log: the term that it was appended in, the id of its proposal, the change."""

    term: int
    id: str
    change: dict


class Message(msgspec.Struct, array_like=True):
    """A message between members. The `tag` of each subclass is its name on the wire and stays."""


class DiscoverRequest(Message, tag="Ask"):
    """A member that starts asks who is there, and what is known of it; its own hard state besides.

    `members_digest` tells one list of configured members from another.
    """

    fleet: str
    empty: bool
    may_bootstrap: bool
    members_digest: int
    term: int = 0
    last_term: int = 0
    last_index: int = 0


class DiscoverResponse(Message, tag="Told"):
    """The answer: the fleet, and the highest term and log position heard of the asking incarnation."""

    fleet: str
    empty: bool
    may_bootstrap: bool
    members_digest: int
    is_member: bool = True
    observed_term: int = 0
    observed_last_term: int = 0
    observed_last_index: int = 0


class BootstrapCluster(Message, tag="Form"):
    """A fleet begins: the state that all start from, which names the incarnations that take part."""

    fleet: str
    state: dict


class VoteRequest(Message, tag="Poll"):
    """Raft's RequestVote; `pre_vote`: only whether there would be a vote, which changes nothing."""

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
    """Raft's AppendEntries: entries after `prev_index`, what is committed, and a lease.

    `sent_at` is a time of the leader, to be sent back. `lease_grant` is the latest time of the receiver's own
    clock from which its lease runs, 0 for none; it holds only for who has applied `commit_index`.
    `in_force_in_us` is how long until what is committed is in force at the latest, 0 where it is.
    `observed` is what voters have promised: (incarnation, term, last term, last index) by name. `leader` is
    who leads where a relay passes this on, "" from the leader itself. `list_generations` is up to which
    generation the sender knows the endpoint list of each registry.
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

    `persisted_index` is on this disk, `applied_index` is acted on here and by all that hear from here.
    `sent_at` is the leader's time sent back, `clock` one of the sender's own. `commit_index` is where to send
    from after a refusal. `process_id` tells one process of a member from the next; 0 where the version knows
    no relays.
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
    """Raft's InstallSnapshot, for who is behind the leader's log: the state as of one entry."""

    term: int
    last_index: int
    last_term: int
    state: dict
    sent_at: int
    leader: str = ""


class Propose(Message, tag="Propose"):
    """A change that a follower hands to the leader; one that comes again under its id counts once."""

    id: str
    change: dict


class TimeoutNow(Message, tag="Lead"):
    """A leader that ends has the receiver campaign at once (Ongaro 2014, 3.10)."""

    term: int


class WorkerRestrictions(Message, tag="News"):
    """Workers that a registry's list, of this generation, has as draining or gone: (id, state).

    `since`: only what has changed after this generation, also who is ready again; 0: all that are restricted.
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
