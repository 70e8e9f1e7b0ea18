"""Invariants of answers: each job has one, in time, and repeats of a key are told the same."""

from collections import defaultdict
from collections.abc import Iterator

from mastledge.lab.invariants.record_queries import SLACK, Record, excused, hold_up_us, of

LATE = 200_000  # microseconds of the harness, at the most, that is not held against a dispatcher
KEYS_FOR_ONE_LATE_RELEASE = 50
LINK_FAULTS = ("cut", "cut_one_way", "delay", "drip", "reset", "half_open", "spoil")
MAX_HOLD_UP_US = 150_000  # for which the machine may hold a dispatcher up, by STANDING.md


def one_answer_in_time(record: Record) -> Iterator[str]:
    """Rule 1. A dispatcher that was killed, stopped or cut off by the scenario answers for nothing then.

    How late the harness itself ran, up to a bound, is not held against anybody: it can't tell times better.
    Neither is the time for which the machine held the dispatcher up, where the record has it.
    """
    slack = SLACK + min(LATE, int(record.get("lag_ms", 0) * 1000))
    sent = {event["job"]: event for event in of(record, "sent")}
    ends = defaultdict(list)
    for event in of(record, "answer", "lost"):
        ends[event["job"]].append(event)
    left = {event["job"] for event in of(record, "left")}
    for job, event in sent.items():
        if job in left:
            continue  # its client did not wait for the answer
        if excused(record, event["who"], event["at"], event["at"] + event["walltime"] + slack):
            continue
        if len(ends[job]) != 1 or ends[job][0]["kind"] == "lost":
            what = ends[job][0].get("why") if ends[job] else "nothing"
            yield f"job {job} of {event['who']} got {what} for an answer"
        elif (late := ends[job][0]["at"] - event["at"] - event["walltime"]) > slack:
            held_up = hold_up_us(record, event["who"], event["at"], ends[job][0]["at"] + SLACK)
            if late <= slack + min(MAX_HOLD_UP_US, held_up):
                continue
            yield f"job {job} of {event['who']} was answered {late / 1000:.0f} ms after its walltime"


def nothing_after_the_answer(record: Record) -> Iterator[str]:
    """Rule 1, its second half: nothing is sent for a job that has its answer."""
    answered = {event["job"]: event["at"] for event in of(record, "answer")}
    for event in of(record, "launch"):
        at = answered.get(event["job"])
        if at is not None and event["at"] > at + SLACK:
            yield f"job {event['job']} was launched {(event['at'] - at) / 1000:.0f} ms after its answer"


def one_answer_a_key(record: Record) -> Iterator[str]:
    """Where keys are kept: a repeat is told what the first one was, or that it may have run, and nothing
    else.
    """
    answers = defaultdict(set)
    key = {event["job"]: event["key"] for event in of(record, "sent")}
    for event in of(record, "answer") if record.get("repeats") else ():
        if event["status"] == 200:
            answers[key[event["job"]]].add(event["result"])
    for key, results in answers.items():
        if len(results) > 1:
            yield f"key {key} was answered with {len(results)} results: {sorted(results)}"


def no_promise_lost(record: Record) -> Iterator[str]:
    """Where keys are kept: once a key was answered, a repeat gets that answer, or is told to come again."""
    if not record.get("repeats"):
        return
    sent = {event["job"]: event for event in of(record, "sent")}
    answered = {}
    for event in of(record, "answer"):
        key = sent[event["job"]]["key"]
        if event["status"] == 200:
            answered.setdefault(key, event["at"])
        elif event["status"] not in (429, 503) and sent[event["job"]]["at"] > answered.get(key, float("inf")):
            yield f"key {key} had its answer, and {event['job']} of {event['who']} got {event['status']}"


def no_doubt_without_cause(record: Record) -> Iterator[str]:
    """Where keys are kept: who was rejected each time before is not told that the job may have run.

    A dispatcher that is lost right behind its rejection can't say any more that nothing ran. One whose
    release of the key is cut off, or late as the machine is the limit, says it too late: that is allowed for
    one key in fifty, and only where the record shows such a cause.
    """
    explained = []
    if not record.get("repeats"):
        return
    tries = defaultdict(list)
    for event in of(record, "sent"):
        tries[event["key"]].append(event)
    ends = {event["job"]: event for event in of(record, "answer")}
    for key, some in tries.items():
        for n, event in enumerate(some):
            end = ends.get(event["job"])
            if end is not None and end["status"] == 409:
                before = [ends.get(one["job"]) for one in some[:n]]
                spans = [(one["who"], one["at"], one["at"] + one["walltime"]) for one in some[:n]]
                if any(excused(record, *span) for span in spans):
                    break
                if all(one is not None and one["status"] in (429, 503) for one in before):
                    who = event["who"]
                    line = f"key {key} was rejected {n} times, and {who} said that it may have run"
                    if release_may_be_late(record, some[0]["at"], end["at"]):
                        explained.append(line)
                    else:
                        yield line
                break
    if len(explained) > len(tries) // KEYS_FOR_ONE_LATE_RELEASE:
        yield from explained


def release_may_be_late(record: Record, since: int, until: int) -> bool:
    """Return whether the release of a key may have come late: by a link fault or for lack of processors."""
    is_machine_the_limit = record.get("lag_ms", 0) * 1000 > SLACK
    return is_machine_the_limit or any(
        spell["fault"] in LINK_FAULTS and spell["from"] <= until and since <= spell["to"] + SLACK
        for spell in record["spells"]
    )
