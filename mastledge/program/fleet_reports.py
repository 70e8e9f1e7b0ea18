"""The output of `mastledge fleet show`, `copies`, `recovery` and `history`, from the API's documents."""

import time
from collections.abc import Iterator
from typing import Any

Document = dict[str, Any]
US_PER_S = 1e6


def fleet_report(state: Document) -> Iterator[str]:
    """Yield the lines of `fleet show` from the document of `/api/agreed`."""
    force = "in force" if state["in_force"] else "agreed, not in force everywhere yet"
    yield (
        f"fleet {state['fleet'] or '-'}, version {state['version']} {force}; term {state['term']}, "
        f"leader {state['leader'] or 'none'}"
    )
    yield f"{state['name']}: {lease_report(state)}" + ("" if state["disk"] == "good" else "; its disk fails")
    if state.get("fan_out"):
        source = f"hears from {state['relay']}" if state["relay"] else "hears from the leader"
        yield f"relays of {state['fan_out']}: {source}, heard by {len(state['heard_by'])}"
    for name, member in sorted(state["members"].items()):
        yield f"  {name}  {member['address']}  {member_role(member)}"
    for title, workers in (
        ("out by hand", state["out"]),
        ("out at this one alone", state["out_here"]),
        ("kept off by the others' lists", state["heard_out"]),
    ):
        if workers:
            yield f"{title}: {', '.join(workers)}"


def lease_report(state: Document) -> str:
    """Return how long the lease of this dispatcher lasts, or why there is none."""
    if state["lease_left_ms"]:
        return f"lease for {state['lease_left_ms']} ms more"
    return f"no lease: {state['why']}"


def member_role(member: Document) -> str:
    """Return the role of a member in the fleet."""
    if member["votes"]:
        return "votes"
    return "follows" if member["life"] else "has not come yet"


def copies_report(state: Document) -> Iterator[str]:
    """Yield the lines of `fleet copies` from the document of `/api/copies`."""
    yield (
        f"{state['held']} keys held here, {state['claimed']} of them under way; "
        f"{state['copies']} copies of each; {state['bytes']} bytes"
    )
    yield f"owed to others: {state['owed']}; under-copied: {state['under_copied']}"
    if not state.get("takes_part", True):
        yield "it takes no part yet: its start is not agreed"
    if state.get("copies_after", state["copies"]) != state["copies"]:
        yield f"there are to be {state['copies_after']} copies of each"
    if state.get("moving_to"):
        missing = sorted(set(state["moving_to"]) - set(state["caught_up"]))
        yield f"holders change: {', '.join(missing)} still without all copies; {state['taken']} taken here"
    if state["disk"] != "good":
        yield "its disk fails: no new key is taken"


def recovery_report(state: Document) -> Iterator[str]:
    """Yield the lines of `fleet recovery` from the document of `/api/recovery`."""
    durations = ", ".join(f"{step} {ms} ms" for step, ms in state["took_ms"].items())
    waits = f", waits for: {state['waits_for']}" if state["waits_for"] else ""
    yield f"step: {state['step']} for {state['for_ms']} ms{waits}" + (f" ({durations})" if durations else "")
    for degradation in state["lesser_service"]:
        yield f"lesser service: {degradation}"
    yield admission_report(state["door"])
    restored = state["believed"]
    yield (
        f"believed of before: {restored['workers']} workers, {restored['out']} with launches, "
        f"{restored['learned']} learned of, {restored['age_ms']} ms old"
    )
    for part, reason in restored["not"].items():
        yield f"not believed: {part}: {reason}"
    if state["kept_off"]:
        yield f"kept off, as the list is older than one before: {', '.join(state['kept_off'])}"
    if state["disk"] != "good":
        yield f"its folder: {state['disk']}"


def admission_report(ramp: Document) -> str:
    """Return the state of the admission ramp."""
    limited = f"open to {100 * ramp['share']:.0f}%, because of: {ramp['why']}"
    return (
        f"door: {'open' if ramp['open'] else limited}; "
        f"{ramp['held']} jobs in hand; refused {ramp['refused_first']} first and "
        f"{ramp['refused_further']} further tries; closed {ramp['closed']} times"
    )


def history_report(document: Document) -> Iterator[str]:
    """Yield the lines of `fleet history` from the document of `/api/history`."""
    for version in document["history"]:
        at = "-"
        if version["at"]:
            at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(version["at"] / US_PER_S))
        yield f"{version['version']:6d}  {at:19s}  {version['by'] or '-':12s}  {version['what']}"
