"""The invariant checker: reads what came over sockets and what workers wrote down, never a dispatcher's log.

Rules are functions from the record to their breaches, one line each (`invariants/`). Times of the record
are microseconds of one clock.
"""

from mastledge.lab.invariants.agreement import nothing_agreed_is_lost, one_fleet, one_order_of_versions
from mastledge.lab.invariants.answers import (
    no_doubt_without_cause,
    no_promise_lost,
    nothing_after_the_answer,
    one_answer_a_key,
    one_answer_in_time,
)
from mastledge.lab.invariants.effects import harmless_rejections, no_effect_twice, one_effect_a_key
from mastledge.lab.invariants.endings import (
    half_requests_end,
    nothing_for_who_has_left,
    nothing_is_left_behind,
    processes_end_by_themselves,
    what_runs_is_answered,
)
from mastledge.lab.invariants.endpoint_list import nothing_to_the_drained
from mastledge.lab.invariants.processes import nobody_crashes, refusals_are_plain
from mastledge.lab.invariants.record_queries import Record
from mastledge.lab.invariants.recovery import no_stampede, the_service_comes_back
from mastledge.lab.invariants.restrictions import here_only_holds_here, nothing_contradicts
from mastledge.lab.invariants.slow_start import cold_ones_are_not_pushed_over

RULES = (
    nobody_crashes,
    refusals_are_plain,
    one_effect_a_key,
    one_answer_a_key,
    no_promise_lost,
    no_doubt_without_cause,
    one_answer_in_time,
    nothing_after_the_answer,
    no_effect_twice,
    harmless_rejections,
    nothing_to_the_drained,
    nothing_contradicts,
    here_only_holds_here,
    nothing_agreed_is_lost,
    one_fleet,
    one_order_of_versions,
    cold_ones_are_not_pushed_over,
    the_service_comes_back,
    no_stampede,
    processes_end_by_themselves,
    what_runs_is_answered,
    nothing_for_who_has_left,
    nothing_is_left_behind,
    half_requests_end,
)


def judged(record: Record) -> dict[str, list[str]]:
    """Return the breaches of each rule of `RULES` by its name, empty where it was kept."""
    return {rule.__name__: list(rule(record)) for rule in RULES}
