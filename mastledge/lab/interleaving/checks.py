"""What an order broke: the laboratory's rules, and those of a single order."""

from collections.abc import Iterator

from mastledge.lab.interleaving.discovery_peer import ZONES
from mastledge.lab.interleaving.program_settings import WINDOW_US
from mastledge.lab.interleaving.program_state import leftovers
from mastledge.lab.interleaving.world import World
from mastledge.lab.invariant_checker import judged
from mastledge.lab.invariants.endpoint_list import nothing_to_the_drained
from mastledge.lab.invariants.record_queries import SLACK, of

GONE_US = 100_000  # after a client has left, in which an attempt may begin


def broken_rules(world: World) -> list[str]:
    """Give one line, `rule: what`, for each thing that is broken in a world at rest."""
    add_effects(world)
    record = world.record()
    return [
        *by_the_laboratory(record),
        *by_launches(world, record),
        *(f"one_answer: {job} had {count}" for job, count in world.answer_counts.items() if count > 1),
        *(f"nothing_left: {what}" for what in leftovers(world.program)),
        *(f"no_fault: {fault}" for fault in world.faults),
    ]


def add_effects(world: World) -> None:
    """Add effects to the record: a launch takes effect unless its worker has said that it never ran."""
    for event in of(world.record(), "launch"):
        if may_have_run(world, event):
            world.events.append({**event, "kind": "effect"})
    world.events.sort(key=lambda event: event["at"])


def may_have_run(world: World, launch: dict) -> bool:
    """Whether the worker of a launch has not said that it never ran."""
    return (launch["attempt"], launch["job"]) not in world.denied_launches


def by_the_laboratory(record: dict) -> list[str]:
    """Give what the rules of the laboratory's judge find."""
    broken = judged(record)
    # For drains a launch counts from its first byte, else from its last.
    from_first_byte = [{**event, "at": event.get("first", event["at"])} for event in record["events"]]
    broken["nothing_to_the_drained"] = list(nothing_to_the_drained({**record, "events": from_first_byte}))
    return [f"{rule}: {line}" for rule, lines in broken.items() for line in lines]


def by_launches(world: World, record: dict) -> Iterator[str]:
    """Give what is wrong with single launches."""
    left_at = {event["job"]: event["at"] for event in of(record, "left")}
    first_launches: dict[str, dict] = {}
    for launch in of(record, "launch"):
        yield from launched_for_the_gone(launch, left_at)
        if world.effect == "deduplicated" and may_have_run(world, launch):
            yield from outside_the_window(launch, first_launches.setdefault(launch["job"], launch))
        yield from sent_to_a_former_life(launch)


def launched_for_the_gone(launch: dict, left_at: dict[str, int]) -> Iterator[str]:
    """A launch must not begin later than shortly after its client has left."""
    job, first_byte_at = launch["job"], launch["first"]
    if first_byte_at > left_at.get(job, first_byte_at) + GONE_US:
        late_ms = (first_byte_at - left_at[job]) / 1000
        yield f"nothing_for_the_gone: {job} was launched {late_ms:.0f} ms after its client left"


def outside_the_window(launch: dict, first: dict) -> Iterator[str]:
    """Deduplicated launches of a job stay in the window and the zone of the first one."""
    if launch["at"] > first["at"] + WINDOW_US + SLACK or ZONES[launch["worker"]] != ZONES[first["worker"]]:
        yield (
            f"inside_the_window: {launch['job']} was launched on {launch['worker']} "
            f"{(launch['at'] - first['at']) / 1000:.0f} ms after {first['worker']}"
        )


def sent_to_a_former_life(launch: dict) -> Iterator[str]:
    """No launch goes to a former life of a worker once the program was told of the one of now."""
    life = launch["lives"]
    told_at = life.told_at_barrier
    if launch["life"] != life.number and told_at is not None and launch["barrier"] > told_at:
        yield f"the_worker_of_now: {launch['job']} went to a former life of {launch['worker']}"
