"""The search for orders that break a rule: all pairs of a place, longer ones by a seed, and shrinking."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import combinations
from random import Random
from zlib import crc32

from mastledge.lab.controlled_loop import NeverIdleError
from mastledge.lab.interleaving.checks import broken_rules
from mastledge.lab.interleaving.places import PLACES, TIME
from mastledge.lab.interleaving.player import come_to_rest, perform
from mastledge.lab.interleaving.program_state import shut_down
from mastledge.lab.interleaving.scripts import Groups, Script
from mastledge.lab.interleaving.world import World

FINDINGS_PER_RULE = 3
BETWEEN_LEAD_STEPS_US = 5_000  # as the last byte of a run-once job follows a look of some milliseconds
PLACES_WITHOUT_TIME = ("quiet", "kept-quiet")


@dataclass(frozen=True, slots=True)
class Finding:
    """A shrunk script, and the line of what the order that was tried broke."""

    script: Script
    line: str


@dataclass(slots=True)
class SearchResult:
    """How many orders were tried, and the first findings of each rule."""

    orders: int = 0
    findings: dict[str, list[Finding]] = field(default_factory=dict)


def rule_of(line: str) -> str:
    """Give the rule of a line of what is broken."""
    return line.partition(":")[0]


def play(script: Script) -> list[str]:
    """Play a script to its end; gives a line for each thing that is broken, nothing where all is well."""
    world = World(script.effect)
    try:
        for step in PLACES[script.place].lead:
            perform(world, step)
            if script.place not in PLACES_WITHOUT_TIME:
                world.pass_time(BETWEEN_LEAD_STEPS_US)
        for group in script.groups:
            perform(world, *group)
        come_to_rest(world)
        return broken_rules(world)
    except NeverIdleError:
        return ["comes_to_rest: it goes on and on"]
    finally:
        shut_down(world.program)
        world.close_peers()


def pairs(place: str) -> Iterator[Groups]:
    """Give both orders of each two steps, one after the other and at once."""
    for one, other in combinations(PLACES[place].steps, 2):
        for first, second in ((one, other), (other, one)):
            yield ((first,), (second,))
            if one not in TIME or other not in TIME:
                yield ((first, second),)


def drawn_orders(place: str, depth: int, count: int, random: Random) -> Iterator[Groups]:
    """Give so many orders of at least so many steps, drawn: some of them at once."""
    steps = PLACES[place].steps
    for _ in range(count):
        groups = ()
        while sum(map(len, groups)) < depth:
            group = tuple(random.choice(steps) for _ in range(random.choice((1, 1, 2))))
            groups = (*groups, group)
        yield groups


def shorter(groups: Groups) -> Iterator[Groups]:
    """Give the orders that lack one group, or one step of a group."""
    for n, group in enumerate(groups):
        before, after = groups[:n], groups[n + 1 :]
        yield (*before, *after)
        if len(group) > 1:
            for left_out in group:
                yield (*before, tuple(step for step in group if step is not left_out), *after)


def shrink(script: Script) -> Script:
    """Leave out steps until each one that is left matters for the rules that are broken."""
    rules = {rule_of(line) for line in play(script)}

    def still_breaks(groups: Groups) -> bool:
        lines = play(replace(script, groups=groups)) if groups else []
        return any(rule_of(line) in rules for line in lines)

    while True:
        groups = next(filter(still_breaks, shorter(script.groups)), None)
        if groups is None:
            return script
        script = replace(script, groups=groups)


def search_place(place: str, effect: str, depth: int, count: int, seed: int) -> SearchResult:
    """Try all pairs of a place (depth 2), or `count` longer orders that the seed draws."""
    result = SearchResult()
    random = Random(crc32(f"{place}/{effect}/{seed}".encode()))
    for groups in pairs(place) if depth == 2 else drawn_orders(place, depth, count, random):
        result.orders += 1
        script = Script(place, effect, groups)
        line = next(iter(play(script)), None)
        if line is not None:
            findings = result.findings.setdefault(rule_of(line), [])
            if len(findings) < FINDINGS_PER_RULE:
                findings.append(Finding(shrink(script), line))
    return result
