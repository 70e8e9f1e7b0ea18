"""What dispatchers tell one another about agreement. Times are whole microseconds of the clock of who wrote
them.

Fields are only ever added at the end, with a value that stands in: an older version leaves them unread.
"""

import msgspec

VERSION = 1  # of the messages; another one is not spoken to


class Entry(msgspec.Struct, array_like=True):
    """One change on its way: the term it was taken in, the name its caller gave it, what changes."""

    term: int
    id: str
    change: dict


class Message(msgspec.Struct, array_like=True):
    """A message between dispatchers. The `tag` of each subclass is its name on the wire and stays."""


class DiscoverRequest(Message, tag="Ask"):
    """At the start: who is there, and what do you know of me? `digest` tells one list of members from
    another.
    """

    fleet: str
    empty: bool
    form: bool
    digest: int
    term: int = 0
    last_term: int = 0
    last: int = 0


class DiscoverResponse(Message, tag="Told"):
    """The answer: the fleet, and what was heard of the asking one in this life of it."""

    fleet: str
    empty: bool
    form: bool
    digest: int
    member: bool = True
    heard_term: int = 0
    heard_last_term: int = 0
    heard_last: int = 0


class BootstrapCluster(Message, tag="Form"):
    """A fleet begins: the state that all start from, which names the lives that were heard."""

    fleet: str
    state: dict


class VoteRequest(Message, tag="Poll"):
    """Asks for a vote; `pre`: only whether there would be one, which changes nothing at either side."""

    term: int
    last_term: int
    last: int
    pre: bool


class VoteResponse(Message, tag="Ballot"):
    term: int
    yes: bool
    pre: bool


class AppendEntries(Message, tag="Append"):
    """From the leader: entries behind `prev`, what is agreed, and the lease.

    `stamp` is the leader's time, to be sent back. `grant` is the latest time of the receiver's own from
    which its lease runs, 0 for none; it holds only for who has applied `commit`. `left` is how long until
    what is agreed is in force, 0 where it is. `leader`: who leads, where a relay passes this on; "" from the
    leader itself.
    `lists`: up to which generation the sender knows the list of each registry.
    """

    term: int
    prev: int
    prev_term: int
    entries: list[Entry]
    commit: int
    stamp: int
    grant: int
    in_force: int
    left: int
    heard: dict[str, tuple[str, int, int, int]] = {}
    news: list["WorkerRestrictions"] = []
    leader: str = ""
    lists: dict[str, int] = {}


class AppendResponse(Message, tag="Ack"):
    """`safe` is on the disk here, `applied` is acted on here and by all that hear from this one; `hint`:
    where to send from after a no. `process` tells one process of a member from the next; 0 where the version
    knows no relays.
    """

    term: int
    yes: bool
    safe: int
    safe_term: int
    applied: int
    stamp: int
    clock: int
    hint: int = 0
    process: int = 0
    lists: dict[str, int] = {}


class InstallSnapshot(Message, tag="Install"):
    """From the leader, for who is behind its log: all that was agreed up to an entry."""

    term: int
    last: int
    last_term: int
    state: dict
    stamp: int
    leader: str = ""


class Propose(Message, tag="Propose"):
    id: str
    change: dict


class TimeoutNow(Message, tag="Lead"):
    """From a leader that ends: the receiver is to ask for votes at once."""

    term: int


class WorkerRestrictions(Message, tag="News"):
    """Workers that a registry has told are draining or gone: (id, state); it has reached `generation`.

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
