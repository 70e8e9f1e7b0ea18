"""The consensus in simulated time, at several numbers of voters and followers."""

from mastledge.lab.bench.measured_rig import Figures
from mastledge.lab.bench.percentiles import spread
from mastledge.lab.sized_fleets import fleet_at_rest

VOTER_COUNTS = (3, 5, 7)
FOLLOWER_COUNTS = (20, 60, 200)
TRIES = 7  # changes, and as many deaths of the leader
REST_US = 10_000_000  # in which messages are counted
IN_FORCE_LIMIT_US = 5_000_000
ELECTION_LIMIT_US = 20_000_000
PAUSE_AFTER_CHANGE_US = 1_000_000
PAUSE_AFTER_ELECTION_US = 5_000_000
PLOTTED = (
    ("leader_messages_a_second", "messages a second of the leader"),
    ("in_force_ms", "ms to in force (median)"),
    ("new_leader_ms", "ms to a new leader (median)"),
)


def fleet_size(voters: int, followers: int, seed: int) -> Figures:
    """Simulated: messages and bytes a second at rest, time to in force, time to a new leader."""
    fleet = fleet_at_rest(voters, followers, seed)
    at_rest = traffic_at_rest(fleet)
    in_force = spread([in_force_ms(fleet, number) for number in range(TRIES)])
    new_leader = spread([new_leader_ms(fleet) for _ in range(TRIES)])
    return {
        **at_rest,
        "in_force_ms": in_force["p50"],
        "in_force_most_ms": in_force["most"],
        "new_leader_ms": new_leader["p50"],
        "new_leader_most_ms": new_leader["most"],
    }


def traffic_at_rest(fleet) -> Figures:
    """Messages and bytes a second of a member, and of the leader, while nothing changes."""
    leader = fleet.leader()
    sent, sent_bytes, began_us = fleet.sent, fleet.bytes, fleet.now
    sent_by_leader = leader.sent
    fleet.run(began_us + REST_US)
    count, seconds = len(fleet.nodes), REST_US // 1_000_000
    voters = len(leader.member.state.voters())
    return {
        "voters": voters,
        "followers": count - voters,
        "messages_a_second": round((fleet.sent - sent) / seconds / count, 1),
        "bytes_a_second": round((fleet.bytes - sent_bytes) / seconds / count),
        "leader_messages_a_second": round((leader.sent - sent_by_leader) / seconds, 1),
    }


def in_force_ms(fleet, number: int) -> float:
    """Milliseconds from a change at the leader until it is in force."""
    leader, began_us = fleet.leader(), fleet.now
    last = leader.member.log.last_index
    kind = ("out", "back")[number % 2]
    fleet.propose(leader.name, f"c{number}", {"kind": kind, "worker": "w", "at": 1, "cold_for": 1})
    fleet.run(began_us + IN_FORCE_LIMIT_US, lambda: leader.member.lease.in_force_index > last)
    took_ms = (fleet.now - began_us) / 1000
    fleet.run(fleet.now + PAUSE_AFTER_CHANGE_US)
    return took_ms


def new_leader_ms(fleet) -> float:
    """Milliseconds from the death of the leader until another one has committed in its own term."""
    leader, began_us = fleet.leader(), fleet.now
    leader.crash()
    fleet.run(
        began_us + ELECTION_LIMIT_US,
        lambda: fleet.leader() is not None
        and fleet.leader().member.commit_index >= fleet.leader().member.leadership.term_start_index,
    )
    took_ms = (fleet.now - began_us) / 1000
    leader.start()
    fleet.run(fleet.now + PAUSE_AFTER_ELECTION_US)
    return took_ms


def fleet_sizes(seed: int, plot: str | None = None) -> list[Figures]:
    """All sizes; drawn into the file `plot` if it is given."""
    table = [fleet_size(voters, followers, seed) for voters in VOTER_COUNTS for followers in FOLLOWER_COUNTS]
    if plot:
        draw(table, plot)
    return table


def draw(table: list[Figures], path: str) -> None:
    """Draws the figures over the number of followers, a line for each number of voters."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(PLOTTED), figsize=(12, 3.6))
    for voters in sorted({row["voters"] for row in table}):
        rows = [row for row in table if row["voters"] == voters]
        followers = [row["followers"] for row in rows]
        for ax, (key, title) in zip(axes, PLOTTED, strict=True):
            ax.plot(followers, [row[key] for row in rows], "o-", label=f"{voters} voters")
            ax.set(xlabel="followers", title=title)
            ax.set_ylim(bottom=0)
    axes[0].legend()
    figure.suptitle("Agreement in simulated time")
    figure.tight_layout()
    figure.savefig(path, dpi=80)
