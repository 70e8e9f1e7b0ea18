"""The judge: reads what came over sockets and what workers wrote down, never a dispatcher's log.

Each rule is a function from the record to its breaches, one line each. Times of the record are microseconds
of one clock.
"""

from collections import defaultdict

SLACK = 50_000  # in which a message gets through a busy machine
LATE = 200_000  # of the harness, at the most, that is not held against a dispatcher
GRACE = 1_000_000  # after which nothing new goes to who is draining; the settings of the harness say the same


def of(record, *kinds):
    return [event for event in record["events"] if event["kind"] in kinds]


def one_answer_in_time(record):
    """Rule 1. A dispatcher that was killed, stopped or cut off by the scenario answers for nothing then.

    How late the harness itself ran, up to a bound, is not held against anybody: it can't tell times better.
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
        elif ends[job][0]["at"] > event["at"] + event["walltime"] + slack:
            late = ends[job][0]["at"] - event["at"] - event["walltime"]
            yield f"job {job} of {event['who']} was answered {late / 1000:.0f} ms after its walltime"


def excused(record, who, since, until):
    return any(
        spell["who"] == who and spell["from"] <= until and since <= spell["to"] + SLACK
        for spell in record["spells"]
        if spell["fault"] in ("kill", "stop", "wipe", "lose", "tear", "put_back", "clone", "spoil_file")
    )


def nothing_after_the_answer(record):
    """Rule 1, its second half: nothing is sent for a job that has its answer."""
    answered = {event["job"]: event["at"] for event in of(record, "answer")}
    for event in of(record, "launch"):
        at = answered.get(event["job"])
        if at is not None and event["at"] > at + SLACK:
            yield f"job {event['job']} was launched {(event['at'] - at) / 1000:.0f} ms after its answer"


def no_effect_twice(record):
    """Rule 2, for one try of a run-once job: over all its launches there is one effect."""
    effects = defaultdict(list)
    for event in of(record, "effect"):
        if event["type"] in record["run_once"]:
            effects[event["job"]].append(event["worker"])
    for job, workers in effects.items():
        if len(workers) > 1:
            yield f"run-once job {job} had its effect {len(workers)} times, at {', '.join(workers)}"


def harmless_rejections(record):
    """Rule 2: what was rejected had no effect, where a second one would be one too many."""
    rejected = {event["job"] for event in of(record, "answer") if event["status"] in (429, 503)}
    for event in of(record, "effect"):
        if event["type"] in record["run_once"] and event["job"] in rejected:
            yield f"run-once job {event['job']} was rejected and had its effect at {event['worker']}"


def nothing_to_the_drained(record):
    """Rule 3: by what each dispatcher was told of the list, to the sum of them."""
    told = defaultdict(list)
    for event in of(record, "told"):
        told[event["who"]].append((event["generation"], event["at"]))
    who = {event["job"]: event["who"] for event in of(record, "sent")}
    listed = defaultdict(list)
    for event in of(record, "listed"):
        listed[event["worker"]].append(event)
    for event in of(record, "launch"):
        name = who.get(event["job"])
        state = None
        for change in listed.get(event["worker"], ()):
            heard = min(
                (at for generation, at in told[name] if generation >= change["generation"]), default=None
            )
            if heard is not None and heard + record["grace"] + SLACK < event["at"]:
                state = change["state"]
            elif change["state"] == "ready" and change["at"] <= event["at"]:
                state = "ready"
        if state in ("draining", "gone"):
            yield f"{name} launched {event['job']} on {event['worker']}, which it was told is {state}"


def nothing_contradicts(record):
    """No launch contradicts a rule for longer than the stated time: who was called out gets nothing once
    that is in force by the answer, and T after the answer at the latest.
    """
    spans = defaultdict(list)
    calls = of(record, "call")
    for call in calls:
        if call["call"] == "exclude" and call["status"] in (200, 202):
            # From the time that a call back began it may be back, whether or not the caller heard of it.
            until = min(
                (
                    other["began"]
                    for other in calls
                    if other["call"] == "include"
                    and other["worker"] == call["worker"]
                    and other["at"] >= call["began"]
                ),
                default=None,
            )
            spans[call["worker"]].append((call["at"] + call["in_force_in"] * 1000 + SLACK, until))
    for event in of(record, "launch"):
        for since, until in spans.get(event["worker"], ()):
            if event["at"] > since and (until is None or event["at"] < until):
                late = (event["at"] - since) / 1000
                yield f"job {event['job']} went to {event['worker']} {late:.0f} ms after it was out for all"


def here_only_holds_here(record):
    """A word that holds here only does so from its answer on."""
    who = {event["job"]: event["who"] for event in of(record, "sent")}
    for call in of(record, "call"):
        if call["call"] != "exclude" or call["status"] != 503 or "here only" not in call["text"]:
            continue
        ended = min(
            (
                other["began"]
                for other in of(record, "call")
                if other["call"] == "include"
                and other["worker"] == call["worker"]
                and other["began"] > call["at"]
            ),
            default=float("inf"),
        )
        for event in of(record, "launch"):
            if (
                event["worker"] == call["worker"]
                and who.get(event["job"]) == call["who"]
                and call["at"] + SLACK < event["at"] < ended
            ):
                yield f"{call['who']} launched {event['job']} on {event['worker']}, which is out there"


def nothing_agreed_is_lost(record):
    """What was answered as agreed is there at the end at each dispatcher, and all have one version."""
    states = [event for event in of(record, "state") if event["status"] == 200]
    if not states:
        if of(record, "state"):
            yield "no dispatcher tells what is agreed"
        return
    versions = {event["who"]: (event["told"]["version"], tuple(event["told"]["out"])) for event in states}
    if len(set(versions.values())) > 1:
        yield f"dispatchers differ at the end: {versions}"
    for event in of(record, "state"):
        if event["status"] != 200:
            yield f"{event['who']} does not tell what is agreed: {event['status']}"
    want = {}
    for call in of(record, "call"):
        if call["call"] in ("exclude", "include"):
            # One that got no clear answer, or that crossed another one, may have been agreed last or not.
            crossed = any(
                other is not call
                and other.get("worker") == call["worker"]
                and other["began"] <= call["at"]
                and other["at"] >= call["began"]
                for other in of(record, "call")
            )
            sure = call["status"] in (200, 202) and not crossed
            want[call["worker"]] = (call["call"] == "exclude") if sure else None
    out = set(states[0]["told"]["out"])
    for worker, wanted in want.items():
        if wanted is not None and (worker in out) != wanted:
            there = "out" if worker in out else "in"
            yield f"{worker} is {there} at the end, and the last answer said otherwise"
    highest = max((call["version"] for call in of(record, "call") if call["status"] in (200, 202)), default=0)
    for event in states:
        if event["told"]["version"] < highest:
            yield f"version {highest} was agreed, and {event['who']} is at {event['told']['version']}"


def one_fleet(record):
    """All that are there at the end are of one fleet: none has been begun beside it."""
    states = [event for event in of(record, "state") if event["status"] == 200]
    fleets = {event["who"]: event["told"].get("fleet") for event in states}
    if len(set(fleets.values())) > 1:
        yield f"dispatchers are of several fleets: {fleets}"


def one_order_of_versions(record):
    """Each version is one change, whoever tells of it."""
    seen = {}
    for event in of(record, "history"):
        for one in event["history"]:
            told = (one["what"], one["by"], one["at"])
            known = seen.setdefault(one["version"], (event["who"], told))
            if known[1] != told:
                yield f"version {one['version']} is {told} at {event['who']}, {known[1]} at {known[0]}"


def cold_ones_are_not_pushed_over(record):
    """Rule 4: in no window of the stated length does a cold worker get more than its warmth allows.

    With the slack for chance that the standing test has: where that is N jobs of mean work, three times the
    root of N and three more.
    """
    span, multiple, slots, cold_from, cold = (
        record["cold"][x] for x in ("span", "multiple", "slots", "from", "for")
    )
    if not cold:
        return
    born = {}
    for event in record["events"]:
        if event["kind"] == "reborn":
            born[event["worker"]] = event["at"]
    for worker, since in born.items():
        launches = [
            event
            for event in of(record, "launch")
            if event["worker"] == worker and since <= event["at"] < since + cold
        ]
        for n, first in enumerate(launches):
            work = 0
            for event in launches[n:]:
                if event["at"] >= first["at"] + span:
                    break
                work += event["work"]
            warm = min(1.0, cold_from + (1 - cold_from) * (first["at"] + span - since) / cold)
            mean = sum(event["work"] for event in launches) / len(launches)
            allowed = multiple * warm * slots * span / mean
            if work > (allowed + 3 * allowed**0.5 + 3) * mean:
                yield (
                    f"{worker} was given {work / 1000:.0f} ms of work in {span / 1000:.0f} ms, "
                    f"{(first['at'] - since) / 1000:.0f} ms after its start"
                )
                break


def one_effect_a_key(record):
    """Where keys are kept: a run-once key has its effect once, over all tries of its client."""
    effects = defaultdict(list)
    for event in of(record, "effect") if record.get("repeats") else ():
        if event["type"] in record["run_once"]:
            effects[event["key"]].append(event["job"])
    for key, jobs in effects.items():
        if len(jobs) > 1:
            yield f"run-once key {key} had its effect {len(jobs)} times, for {', '.join(jobs)}"


def one_answer_a_key(record):
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


def no_promise_lost(record):
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


def no_doubt_without_cause(record):
    """Where keys are kept: who was rejected each time before is not told that the job may have run.

    A dispatcher that is lost right behind its rejection can't say any more that nothing ran, and one whose
    word is late or cut off says it too late: for one key in fifty that is borne.
    """
    found = []
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
                    found.append(f"key {key} was rejected {n} times, and {who} said that it may have run")
                break
    if len(found) > len(tries) // 50:
        yield from found


def first_tries(record):
    """[(when it was sent, when it was served at any try, or infinity)] of the clients, in their order."""
    first, end = {}, {}
    for event in of(record, "sent"):
        if not event["attempt"]:
            first[event["job"].partition(".")[0]] = event["at"]
    for event in of(record, "answer"):
        if event["status"] == 200:
            end.setdefault(event["job"].partition(".")[0], event["at"])
    return sorted((at, end.get(client, float("inf"))) for client, at in first.items())


def calm_since(record):
    """When the last fault was over; 0 where there was none."""
    return max((spell["to"] for spell in record["spells"]), default=0)


def the_service_comes_back(record):
    """Where a scenario has the goal: so long after the last fault first tries are served as before."""
    goals = record.get("goals") or {}
    if not goals.get("back_s"):
        return
    since = calm_since(record) + goals["back_s"] * 1e6
    late = [(at, end) for at, end in first_tries(record) if at >= since]
    if not late:
        yield f"nobody came later than {goals['back_s']:g} s after the last fault"
        return
    served = sum(end <= at + goals["within_s"] * 1e6 for at, end in late) / len(late)
    if served < goals["share"]:
        yield f"{served:.3f} of first tries are served {goals['back_s']:g} s after the last fault and later"


def out_at_once(record):
    """{worker: (most launches there at once, when)}, by what it has taken and what has ended there."""
    out, most = defaultdict(int), {}
    for event in of(record, "launch", "effect", "dropped", "reborn"):
        worker = event["worker"]
        if event["kind"] == "reborn":
            out[worker] = 0
            continue
        out[worker] = max(0, out[worker] + (1 if event["kind"] == "launch" else -1))
        if out[worker] > most.get(worker, (0, 0))[0]:
            most[worker] = (out[worker], event["at"])
    return most


def no_stampede(record):
    """Where a scenario has the goal: no worker gets more at once than so many times its slots.

    The workers are the harness's: one that ran late itself has let launches pile up, and can't tell.
    """
    goals = record.get("goals") or {}
    if not goals.get("most_out") or record.get("lag_ms", 0) * 1000 > SLACK:
        return
    for worker, (most, at) in out_at_once(record).items():
        if most > goals["most_out"] * record["cold"]["slots"]:
            after = (at - calm_since(record)) / 1e6
            yield f"{worker} had {most} launches at once, {after:.1f} s after the last fault"


def nobody_crashes(record):
    """A process ends when it is told to, with status 0."""
    for event in of(record, "crashed"):
        yield f"{event['who']} ended by itself with {event['status']}"


def refusals_are_plain(record):
    """A start that can't be is one message with its reason, status 1, and no trace."""
    for event in of(record, "refused"):
        if event["status"] != 1 or not event["text"].startswith("mastledge: cannot serve: "):
            yield f"{event['who']} ended with {event['status']}: {event['text']}"


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
)


def judged(record):
    """{rule: its breaches} over all rules."""
    return {rule.__name__: list(rule(record)) for rule in RULES}
