"""Every decision of one dispatcher; docs/interface.md describes the calls, docs/design.md the reasons.

Times are whole microseconds. Inputs only update what is known; then the host calls decide(now) until that
gives None, and again no later than wake_at().
"""

from bisect import bisect_left, insort
from collections import Counter, deque
from heapq import heappop, heappush
from itertools import accumulate, chain
from types import SimpleNamespace
from zlib import crc32

GAIN = 0.125  # the paper's alpha and beta
SPREAD = 1.0  # the paper's kappa
MOVES = 0.2  # share of jobs copied, or under pressure moved, lest a shared trouble doubles the work
WAITS = 9  # last starts whose waits tell overload
PRESSING = 4_000_000  # over this time a full queue becomes rejections
FIRST_SLOTS = 8.0  # the design's start where no worker has shown its slots
NEVER_RAN, TURNED_AWAY = ("full", "unreachable", "unsent"), ("full", "doubted")
CUT_OFF = -1  # why a worker that takes no connection is set aside; None: lost or silent; else a queue type
KEYS_KEPT = 4096
PART = 6  # workers that a dispatcher of little traffic keeps to
LONGEST_PAUSE = 4_000_000  # between two trials of a worker that was set aside
DEAR = 8  # fetches, as which one counts: each puts out a key that has to be fetched again, and so on
CROWDED = 1.1  # times its part of the work, above which a worker is home to no more keys
SHARE = 0.005  # of all utility, what messages may cost
RAREST = 2_000_000  # between two messages, above which what they tell is too old to be worth it
MOST_LOADS, MOST_WANTS = 30, 9  # in a message
SWEEP = 0.2  # microseconds, in the settings' measure, that looking at one worker takes


class Estimate:
    """The paper's upper bound estimator (section 5.1)."""

    __slots__ = ("mean", "var", "n")

    def __init__(self, mean, var, n=0):
        self.mean, self.var, self.n = mean, var, n

    def learn(self, y):
        if self.n:
            self.var += GAIN * (abs(self.mean - y) - self.var)
            self.mean += GAIN * (y - self.mean)
        else:
            self.mean, self.var = y, y / 2
        self.n += 1


class Worker:
    __slots__ = (
        "id",
        "name",
        "zone",
        "kind",
        "cell",
        "units",
        "state",
        "born",
        "out",
        "curve",
        "load",
        "running",
        "slots",
        "peak",
        "slow",
        "extra",
        "extra_at",
        "usual",
        "told",
        "last",
        "shared",
        "heard",
        "quick",
        "aside",
        "credit",
        "draw",
        "drawn_at",
        "asked_at",
        "cold",
    )

    def __init__(self, wkr_id, slots, born, now):
        self.id, self.slots, self.out, self.state = wkr_id, slots, {}, "ready"
        self.name = crc32(str(wkr_id).encode())  # the same at every dispatcher
        self.fresh(born, now)

    def fresh(self, born, now):
        """A new life: what was out on the former one must not weigh on it, and it is cold again."""
        for launch in self.out.values():
            launch.entry = None
        self.born, self.cold, self.out, self.curve, self.aside, self.heard = born, born != 0, {}, [], {}, 0
        self.load = self.running = self.extra = self.usual = self.shared = 0.0
        self.peak, self.slow, self.extra_at, self.quick, self.told = 1.0, 1.0, 0, None, None
        # No credit for the time before it was known.
        self.credit, self.draw, self.drawn_at, self.asked_at, self.last = 0.0, 1.0, now, now, (0, 0)


class Job:
    __slots__ = (
        "id",
        "qt",
        "key",
        "hint",
        "load",
        "tenant",
        "arrived",
        "target_at",
        "last",
        "launches",
        "out",
        "ended",
        "mean",
        "var",
        "work",
        "again",
    )


class Launch:
    __slots__ = (
        "job",
        "wkr",
        "n",
        "sent",
        "began",
        "heard",
        "load",
        "mean",
        "fetch",
        "clear",
        "sure",
        "entry",
        "ended",
        "may_have_run",
        "revoked",
    )


class Balancer:
    def __init__(self, settings, seed, now):
        self.seed, self.draws, self.queue_types, self.rates, self.settings = seed, 0, [], [], {"tenants": ()}
        self.name_types(settings)
        self.run = Estimate(float(min(qt["target"] for qt in self.queue_types)), 0.0)
        self.waits, self.pressed_at, self.pressure = deque([(0, now)], WAITS), now, 0.0
        self.built, self.work, self.done, self.seconds = 0.0, 0.0, 0.0, 1.0
        self.slack, self.value, self.size = self.run.mean, 0.5, self.run.mean
        self.lag = Estimate(4.0 * settings["step"], 4.0 * settings["step"])
        self.keys, self.workers, self.ready, self.part, self.jobs = {}, {}, [], [], {}
        self.todo, self.stops, self.due, self.dues = deque(), deque(), [], 0
        self.spare, self.tidy_at, self.over_at = 2.0, now, None
        self.out, self.back, self.share = (), {}, 1.0  # by the text of ids; see by_hand and sharing
        self.asks(now)
        # What others last told of, when it may be told again, and what was wanted since.
        self.others, self.tell_at, self.fresh_wants, self.by_name = {}, None, Counter(), {}
        # A key that is not at a worker takes a mean job's time, until more is learned.
        self.fetch = Estimate(self.run.mean, 0.0, 1)
        self.wanted, self.orders, self.homes, self.frees = Counter(), {}, {}, {}
        self.survey()

    def name_types(self, settings):
        """Queue types and tenants are told from those before by name, and keep what was learned of them."""
        before = {qt["name"]: qt for qt in self.queue_types}
        rates = dict(zip((tenant["name"] for tenant in self.settings["tenants"]), self.rates, strict=False))
        for qt in settings["queue_types"]:
            qt["ratio"], qt["run"] = Estimate(1.0, 0.5), Estimate(float(qt["target"]), qt["target"] / 2)
            qt["most_patience"] = 0
            for learned in ("ratio", "run", "most_patience"):
                qt[learned] = before.get(qt["name"], qt)[learned]
        self.settings, self.queue_types = settings, settings["queue_types"]
        self.rates = [rates.get(tenant["name"], 0.0) for tenant in settings["tenants"]] or [sum(self.rates)]
        self.best_utility = max(qt["utility"] for qt in self.queue_types) or 1.0

    def asks(self, now):
        self.following, self.fails, self.ask_at = self.settings["follow"] == "pushed", 0, None
        if not self.following:
            # Dispatchers restarted together must not ask in step.
            self.ask_at = now + int(self.chance() * 100 * self.settings["step"])

    def chance(self):
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) / 4294967296.0

    def remind(self, when, what):
        self.dues += 1
        heappush(self.due, (when, self.dues, what))

    # Inputs

    def members(self, now, kind, entries):
        if kind == "failed":
            self.following = False
            self.fails += 1
            # Back-off with jitter, but well inside the time after which this dispatcher counts as told.
            wait = min((1 << min(self.fails, 6)) * 250_000, self.settings["ask_within"] // 4 or 1_000_000)
            self.ask_at = now + int(wait * (0.5 + self.chance() / 2))
            return
        if kind != "cached":
            self.following, self.fails, self.ask_at = True, 0, None
        named = {entry[1] for entry in entries}
        for zone, wkr_id, state, born, cls, cell, units in entries:
            wkr, born = self.workers.get(wkr_id), max(born, self.back.get(str(wkr_id), 0))
            if wkr is None:
                others = [w.slots for w in self.ready] or [FIRST_SLOTS]
                wkr = self.workers[wkr_id] = Worker(wkr_id, sum(others) / len(others), born, now)
            elif born > wkr.born:
                wkr.fresh(born, now)
            wkr.zone, wkr.kind, wkr.cell, wkr.units, wkr.state = zone, cls, cell, units, state
        for wkr in self.workers.values() if kind != "changes" else ():
            wkr.state = wkr.state if wkr.id in named else "gone"
        # Each release brings new ids: who has gone is forgotten, once nothing of it is out.
        self.workers = {wkr.id: wkr for wkr in self.workers.values() if wkr.state != "gone" or wkr.out}
        self.sort_out()

    def by_hand(self, now, out, back):
        """Who is out, whatever the list says, and when who was called back: restarted unseen, so as new."""
        self.out, self.back = out, back
        for wkr in self.workers.values():
            if back.get(str(wkr.id), 0) > wkr.born:
                wkr.fresh(back[str(wkr.id)], now)
        self.sort_out()

    def sort_out(self):
        listed = (wkr for wkr in self.workers.values() if wkr.state == "ready")
        self.ready = [wkr for wkr in listed if str(wkr.id) not in self.out]
        self.orders, self.by_name = {}, {wkr.name: wkr for wkr in self.ready}
        self.settle_keys()
        self.survey()

    def arrived(self, now, job_id, qtype, hint, key, width, memory, tenant, patience):
        job, qt = Job(), self.queue_types[qtype]
        job.id, job.qt, job.key, job.hint, job.load = job_id, qt, key, hint, max(width, memory)
        job.tenant, job.arrived = tenant, now
        job.launches, job.out, job.ended, job.again = [], 0, False, False
        # Two steps early: a timer is rung at a step's end, and the answer takes effect there.
        job.last = min(now + max(0, patience - 2 * self.settings["step"]), self.over_at or now + patience)
        qt["most_patience"] = max(qt["most_patience"], patience)
        self.expect(job)
        # A small rough hint is mostly error, so it counts halfway to a mean job where a worker is cold.
        job.work = max(hint or job.mean, ((hint or job.mean) + self.size) / 2) * job.load
        if key:
            self.wanted[key] += hint or job.mean
            if len(self.fresh_wants) < KEYS_KEPT:
                self.fresh_wants[key] += hint or job.mean
        if self.tell_at is None and self.interval:
            self.tell_at = now + self.interval
        aim = min(qt["target"] + int(qt["stretch"] * (hint or job.mean)), qt["walltime"])
        # A later try's time is counted from the client's first one.
        job.target_at = now + aim - max(0, qt["most_patience"] - patience)
        self.rates[tenant if tenant < len(self.rates) else 0] += 1.0
        # What was not used is saved for a second only: of hundreds of dispatchers none may save for a flood.
        # Under overload a copy is work for nothing, and a move loses its place in a queue for another's end.
        free, pressed = (MOVES, 0.0) if self.settings["parallel"] else (1.0, MOVES)
        share = pressed if self.pressure else free
        self.spare = min(1 + share * self.rate, self.spare + share)
        self.jobs[job_id] = job
        self.todo.append(job)
        self.remind(job.last, job)

    def configured(self, now, settings):
        """New settings: open jobs keep the terms that they were taken under, and what was learned stays."""
        follow = self.settings["follow"]
        self.name_types(settings)
        if settings["follow"] != follow:
            self.asks(now)
        self.survey()

    def sharing(self, now, share):
        self.share = share  # of what is this dispatcher's, where it is two processes

    def leaving(self, now, last):
        """The host ends then: what is open is given up while that can still be told."""
        self.over_at = last - 2 * self.settings["step"]
        for job in self.jobs.values():
            job.last = min(job.last, self.over_at)
            self.remind(job.last, job)

    def find(self, job_id, n):
        job = self.jobs.get(job_id)
        return job.launches[n] if job is not None and n < len(job.launches) else None

    def started(self, now, job_id, n):
        launch = self.find(job_id, n)
        if launch is None or launch.began or launch.ended:
            return
        wkr = launch.wkr
        launch.began = launch.heard = wkr.heard = now
        if launch.entry is None:
            return
        lag, wkr.running, step = now - launch.sent, wkr.running + launch.load, self.settings["step"]
        quick = wkr.quick = min(lag, wkr.quick + (wkr.quick >> 9)) if wkr.quick else min(lag, 2 * step)
        # Rises slowly and starts low, or a dispatcher that starts under overload takes queues for the usual.
        wait = lag - 3 * quick - 4 * step
        self.lag.learn(lag)
        wkr.peak = max(wkr.peak, wkr.running)
        wkr.slots = max(wkr.slots, wkr.peak)
        job = launch.job
        if job.out > 1 and self.settings["may_revoke"]:
            self.stops.extend(other for other in job.launches if not other.began and not other.ended)
        self.waits.append((max(0, wait), now))
        if wait > 0:
            wkr.slots += GAIN * (max(wkr.peak, wkr.running) - wkr.slots)
            extra = max(0.0, wkr.slots - wkr.running) + wait * wkr.slots / self.run.mean / 2
        else:
            extra = min(self.extra(wkr, now), max(0.0, wkr.slots - wkr.running))
        wkr.extra, wkr.extra_at = extra, now
        end = now + int((launch.mean + job.var) * self.slowness(wkr, now))
        self.move(launch, end)
        self.remind(end, launch)

    def progress(self, now, job_id, n, share):
        launch = self.find(job_id, n)
        if launch is not None and not launch.ended:
            launch.heard = launch.wkr.heard = now

    def silent(self, now, job_id, n):
        launch = self.find(job_id, n)
        # Others are heard: its connection is dead, and it must not be taken for a queue until its walltime.
        if launch is not None and launch.entry is not None and launch.wkr.heard > launch.heard:
            self.off(launch)

    def ended(self, now, job_id, n, how, lag, final, report):
        job, launch = self.jobs.get(job_id), self.find(job_id, n)
        if launch is None or launch.ended:
            return
        launch.ended, launch.may_have_run = True, how not in NEVER_RAN
        job.out -= 1
        if launch.entry is not None:
            self.off(launch)
            if how in TURNED_AWAY or not launch.began and how in ("revoked", "timeout"):
                # What never started waited longest, and would be missing where most is moved or refused.
                self.waits.append((self.slack if how in TURNED_AWAY else now - launch.sent, now))
        if how not in ("timeout", "revoked", "unsent", "dropped"):
            self.judge(now, launch, how, lag)
        if report and self.settings["report_how"] == "piggyback":
            self.reported(now, launch, report)
        self.close(job) if final or job.ended else self.todo.append(job)

    def abandoned(self, now, job_id):
        job = self.jobs.get(job_id)
        if job is not None and not job.ended:
            self.close(job)

    def message(self, now, sender, told_at, loads, wants):
        """What another dispatcher has out at each worker, and the keys that its jobs wanted lately."""
        before = self.others.get(sender)
        if sender == self.settings["me"] or before and before[0] >= told_at:
            return
        if before:
            self.forget_loads(sender)
        known = [(self.by_name[name], load) for name, load in loads if name in self.by_name]
        for wkr, load in known:
            wkr.shared += load
        self.others[sender] = told_at, now, [(wkr, wkr.born, load) for wkr, load in known]
        self.wanted.update(dict(wants))

    def forget_loads(self, sender):
        for wkr, born, load in self.others.pop(sender)[2]:
            if wkr.born == born:
                wkr.shared -= load

    # What is known

    def off(self, launch):
        wkr, curve = launch.wkr, launch.wkr.curve
        del curve[bisect_left(curve, launch.entry)]
        launch.entry = None
        wkr.out.pop((launch.job.id, launch.n), None)
        wkr.load = sum(entry[2] for entry in curve)
        if launch.began:
            wkr.running = max(0.0, wkr.running - launch.load)

    def move(self, launch, end):
        curve = launch.wkr.curve
        del curve[bisect_left(curve, launch.entry)]
        launch.entry = (end, *launch.entry[1:])
        insort(curve, launch.entry)

    def expect(self, job):
        """Running time on the mean worker: by the hint of this very job, else the key's, else the type's."""
        qt = job.qt
        known, unit = (qt["ratio"], job.hint) if job.hint else (qt["run"], 1)
        if job.key and not job.hint:
            known = self.keys.get(job.key)
            if known is None:
                if len(self.keys) >= KEYS_KEPT:
                    del self.keys[next(iter(self.keys))]
                others = list(self.keys.values()) or [qt["run"]]
                known = self.keys[job.key] = Estimate(
                    sum(k.mean for k in others) / len(others), sum(k.var for k in others) / len(others)
                )
        job.mean, job.var = max(unit * known.mean, 1.0), SPREAD * unit * known.var

    def judge(self, now, launch, how, lag):
        job, wkr, qt = launch.job, launch.wkr, launch.job.qt
        if how == "completed":
            wkr.heard = now
            # News that the host itself took up late, after a stall of its own, says nothing of the worker.
            end = launch.sent + lag if now - launch.sent - lag > 2 * self.settings["step"] else now
            run = max(1, end - (launch.began or launch.sent))
            slow = self.slowness(wkr, now)
            if launch.clear:
                self.learn_slow(wkr, run / launch.mean, now)
            self.run.learn(run)
            if not self.settings["tells_start"]:
                self.lag.learn(max(0, run - launch.mean * slow))
            self.work += (job.hint or job.mean) * job.load
            self.size += GAIN / 8 * ((job.hint or job.mean) - self.size)
            qt["run"].learn(run)
            if launch.clear and launch.fetch:
                self.fetch.learn(min(max(0.0, run / slow - job.mean), 4 * self.fetch.mean))
            elif launch.clear and launch.sure:
                if job.hint:
                    told, usual = min(run / slow, 8 * launch.mean) / job.hint, qt["ratio"].mean
                    # A short wait is many times a small hint.
                    part = min(1.0, job.hint / qt["run"].mean) if job.key else 1.0
                    qt["ratio"].learn(usual + (told - usual) * part)
                if job.key in self.keys:
                    self.keys[job.key].learn(run)
            if wkr.aside:
                self.goes_well(wkr, launch)
            return
        if how in ("error", *TURNED_AWAY):
            wkr.heard = now
        if how in TURNED_AWAY:
            wkr.extra, wkr.extra_at = 2 * wkr.slots, now
        # A release may fail one queue type alone, and quickly, which makes its curve look empty.
        self.set_aside(wkr, {"unreachable": CUT_OFF, "lost": None}.get(how, qt["name"]), launch, now)

    def reported(self, now, launch, report):
        """What a worker told of its load with an answer, less what was one's own when that was made."""
        wkr, told = launch.wkr, dict(zip(self.settings["report_fields"], report, strict=False))
        free, backlog = told.get("free_slots", -1.0), told.get("backlog", 0.0)
        # The same figures again are the same report, only older. And absurd ones must not reach a curve.
        if report == wkr.told or not (0 <= free < 1e4 and 0 <= backlog < 1e6):
            return
        wkr.told = report
        self.frees.setdefault(wkr.kind, Counter())[round(free)] += 1
        self.waits.append((int(backlog * self.run.mean / wkr.slots), now))
        made = now - self.run.mean
        own = sum(other.load for other in (launch, *wkr.out.values()) if other.sent < made)
        wkr.extra, wkr.extra_at = max(0.0, wkr.slots - free + backlog - own), now
        wkr.usual += GAIN * (wkr.extra - wkr.usual)

    def set_aside(self, wkr, why, launch, now):
        dear = 4 if launch.may_have_run and launch.job.qt["effect"] == "run-once" else 1
        aside = wkr.aside.get(why)
        if aside is None:
            aside = wkr.aside[why] = SimpleNamespace(pause=dear * 125_000)
        elif launch.sent < aside.back_at - aside.pause:
            return
        aside.trickle, aside.good, aside.pause = 1, 0, min(2 * aside.pause, dear * LONGEST_PAUSE)
        aside.back_at = now + aside.pause
        self.count_asides()

    def goes_well(self, wkr, launch):
        """What was sent before it was set aside proves nothing of how it does now."""
        for why in (None, CUT_OFF, launch.job.qt["name"]):
            aside = wkr.aside.get(why)
            if aside is not None and launch.sent >= aside.back_at:
                aside.good += 1
                if aside.good >= aside.trickle:
                    aside.trickle, aside.good = 2 * aside.trickle, 0
                if aside.trickle > wkr.slots:
                    del wkr.aside[why]
                    self.count_asides()

    def count_asides(self):
        self.asides = Counter(chain.from_iterable([wkr.aside for wkr in self.ready if wkr.aside]))

    def learn_slow(self, wkr, ratio, now):
        # What a cold worker is assumed to lack must not be learned as its slowness as well.
        ratio *= self.warmth(wkr, now)
        wkr.slow += GAIN * (min(ratio, 8.0 * wkr.slow) - wkr.slow)

    def warmth(self, wkr, now):
        """The least share of its capacity that a worker can have by now."""
        age, cold_for = now - wkr.born, self.settings["cold_for"]
        if not wkr.born or age >= cold_for:
            return 1.0
        low = self.settings["cold_from"]
        return low + (1 - low) * max(0, age) / cold_for

    def slowness(self, wkr, now):
        return wkr.slow / self.warmth(wkr, now) if wkr.born else wkr.slow

    def extra(self, wkr, now):
        """Load of others, as last seen, fading; never less than what keeps own jobs waiting."""
        if self.others and 2 * len(self.others) >= self.settings["dispatchers"]:
            return max(0.0, wkr.shared)
        extra = wkr.usual + (wkr.extra - wkr.usual) / (1 + (now - wkr.extra_at) / self.run.mean)
        if wkr.running < wkr.load:
            for launch in wkr.out.values():
                if not launch.began:
                    if now - launch.sent > 3 * (wkr.quick or 0) + 4 * self.settings["step"]:
                        extra = max(extra, wkr.slots - wkr.running)
                    break
        return extra

    def close(self, job):
        job.ended = True
        if not job.out:
            self.jobs.pop(job.id, None)
        elif self.settings["may_revoke"]:
            self.stops.extend(launch for launch in job.launches if not launch.ended)

    def learned(self):
        """What a process that takes over starts from, in plain values and by the text of ids."""
        return {
            str(wkr.id): [
                wkr.slots,
                wkr.peak,
                wkr.slow,
                [[why, vars(aside)] for why, aside in wkr.aside.items()],
            ]
            for wkr in self.ready
        }

    def inherited(self, now, told):
        for wkr in self.ready:
            slots, peak, slow, asides, *out = told.get(str(wkr.id), (0, 0, 0, ()))
            wkr.slots, wkr.peak, wkr.slow = slots or wkr.slots, peak or wkr.peak, slow or wkr.slow
            wkr.aside = {why: SimpleNamespace(**aside) for why, aside in asides}
            wkr.extra, wkr.extra_at = (*out, now) if out else (wkr.extra, wkr.extra_at)  # of a former life
        self.survey()

    def skipped(self, now):
        """How many workers of the list get nothing now."""
        return sum(
            wkr not in self.ready or any(now < aside.back_at for aside in wkr.aside.values())
            for wkr in self.workers.values()
            if wkr.state != "gone"
        )

    # Decisions

    def wake_at(self):
        due = self.due
        while due and due[0][2].ended:
            heappop(due)
        soon = due[0][0] if due else None
        if self.ask_at is None and self.tell_at is None:
            return soon
        return min(at for at in (soon, self.ask_at, self.tell_at) if at is not None)

    def decide(self, now):
        if self.tidy_at <= now:
            self.tidy(now)
        if self.ask_at is not None and self.ask_at <= now:
            # Asking counts even when the answer is lost: ask again well before being taken as told.
            self.ask_at = now + (self.settings["ask_within"] // 2 or 5_000_000)
            return ("follow", True)
        if self.tell_at is not None and self.tell_at <= now:
            self.tell_at = now + self.interval if self.interval and self.jobs else None
            return self.news(now)
        while self.due and self.due[0][0] <= now:
            what = heappop(self.due)[2]
            if not what.ended:
                self.check(what, now) if what.__class__ is Launch else self.todo.append(what)
        while self.stops:
            launch = self.stops.popleft()
            if not launch.ended and not launch.revoked:
                launch.revoked = True
                return ("revoke", launch.job.id, launch.n)
        while self.todo:
            job = self.todo.popleft()
            if not job.ended and (decision := self.settle(job, now)) is not None:
                return decision
        return None

    def news(self, now):
        busiest = sorted(self.ready, key=lambda wkr: -wkr.load)[:MOST_LOADS]
        wants = [(key, self.fresh_wants.pop(key)) for key, _ in self.fresh_wants.most_common(MOST_WANTS)]
        return ("message", now, [(wkr.name, wkr.load) for wkr in busiest if wkr.load], wants)

    def settle(self, job, now):
        if now >= job.last:
            return self.give_up(job, 0)
        again, job.again = job.again, False
        if job.out and not again:
            return None
        group, until = None, None
        for launch in job.launches:
            if launch.may_have_run or not launch.ended:
                if job.qt["effect"] == "run-once":
                    return self.give_up(job, 0) if not job.out else None
                if job.qt["effect"] == "deduplicated" and group is None:
                    group, until = launch.wkr, launch.sent + job.qt["window"]
        if len(job.launches) >= self.settings["launches"] or (until is not None and now >= until):
            return self.give_up(job, 0) if not job.out else None
        best, wait = self.pick(job, now, group)
        if best is None and not job.out:
            if group is None and now >= max(job.target_at, job.arrived + self.settings["connect_timeout"]):
                return self.give_up(job, self.settings["connect_timeout"])
            self.remind(now + 5 * self.settings["step"], job)
        if best is None:
            return None
        self.press(now)
        if not job.launches and self.turned_away(job, wait, best, now):
            return self.give_up(job, wait)
        if job.out:
            self.spare -= 1
        return self.launch(job, best, now, until)

    def give_up(self, job, hold_off):
        """A rejection says that trying again is harmless; where that is not known the job is killed."""
        effect, maybe = job.qt["effect"], any(ln.may_have_run or not ln.ended for ln in job.launches)
        harmless = not maybe or effect == "restartable" or effect != "run-once" and job.qt["group"] == "all"
        self.close(job)
        most = self.settings["most_hold_off"] if self.settings["may_hold_off"] else 0
        return ("reject", job.id, min(int(hold_off), most)) if harmless else ("kill", job.id)

    def eligible(self, wkr, job, now, group):
        kind = job.qt["kind"]
        if kind >= 0 and wkr.kind != kind:
            return False
        if group and (scope := job.qt["group"]) != "all" and getattr(wkr, scope) != getattr(group, scope):
            return False
        once, own = job.qt["effect"] == "run-once", (None, CUT_OFF, job.qt["name"])
        # Where one queue type fails the others may, and jobs that may run again find that out at less cost.
        for why in (wkr.aside if once else own) if wkr.aside else ():
            aside = wkr.aside.get(why)
            # A trouble that most of the fleet shares is no reason to set workers aside.
            # But no connection is no slowness: with a zone cut off, those that are left carry the jobs.
            most = len(self.ready) - 1 if why == CUT_OFF else len(self.ready) / 2
            if aside is not None and self.asides[why] <= most:
                wait = 2 * LONGEST_PAUSE if why in (None, CUT_OFF) else aside.pause * (why not in own)
                if now < aside.back_at + wait * once or (why in own and len(wkr.out) >= aside.trickle):
                    return False
        again = len(job.launches) >= len(self.ready)
        if any(launch.wkr is wkr and not (launch.ended and again) for launch in job.launches):
            return False
        return not wkr.born or now - wkr.born >= self.settings["cold_for"] or self.cold_room(wkr, job, now)

    def cold_room(self, wkr, job, now):
        """Cold workers fall over under the sum of all: one's own part is set against one's completed work."""
        settings, work = self.settings, job.work
        half, room = settings["fall_for"] // 2, settings["fall_multiple"] * self.warmth(wkr, now)
        # Under overload all look past their parts, and then at most half as much again comes from there.
        sharers = len(self.part) if self.beyond and wkr in self.part else 2 * len(self.ready)
        rate = room * max(self.done / sharers, 0.7 * self.capacity / settings["dispatchers"]) * self.share
        wkr.credit, wkr.asked_at = min(wkr.credit + rate * (now - wkr.asked_at), rate * half), now
        if now >= wkr.drawn_at + half:
            wkr.draw, wkr.drawn_at = self.chance(), now
        return work <= room * self.capacity * half / 2 and wkr.credit > wkr.draw * work

    def pick(self, job, now, group):
        """Least contention, then least integrated load (Worst-Fit), then chance (paper, section 4.4)."""
        best, least, found = None, (0.0, 0.0), []
        mean, var, load, told = job.mean, job.var, job.load, self.frees or self.others
        special = job.launches or job.qt["kind"] >= 0
        part = () if special else self.part
        size, look = max(4, len(self.part)), self.look
        first, homes = int(self.chance() * len(self.ready)), self.homes_of(job.key)
        rest = chain(self.ready[first:], self.ready[:first]) if special or self.beyond else ()
        for seen, wkr in enumerate(chain(part, rest)):
            # Past the own part only while no worker is free, and no further than the CPU allows.
            if seen >= size and found and (least[0] <= 0 or seen >= look):
                break
            if (wkr.aside or wkr.cold or special) and not self.eligible(wkr, job, now, group):
                continue
            slow = self.slowness(wkr, now) if wkr.cold else wkr.slow
            # CPU is scarce and this runs for each worker and job: no call where its answer is plain.
            others = wkr.running < wkr.load or wkr.extra or told and (wkr.usual or wkr.shared)
            extra = self.extra(wkr, now) if others else 0.0
            fetch = self.to_fetch(job.key, wkr, homes) if homes else 0.0
            span = int((mean + var) * slow + fetch)
            busy = wkr.curve or extra
            rank = self.contention(wkr, now, span, load, var, extra) if busy else (0.0, load * span)
            if told and wkr.told or fetch:
                # Room is what is left of the slots, as kinds differ; one held for a fetch does nobody's work.
                room = wkr.slots * int(mean + var) if wkr.told else 0.0
                rank = rank[0] + DEAR * load * fetch, rank[1] - room
            found.append((rank, wkr))
            if best is None or rank < least:
                best, least = wkr, rank
        if best is None:
            return None, 0.0
        # Areas closer than the estimator's own variation are a tie; a tie need not cross zones for nothing.
        over, area = least[0], least[1] + load * var
        near = [wkr for rank, wkr in found if rank[0] == over and rank[1] <= area]
        if self.settings["price_crossing"]:
            near = [wkr for wkr in near if wkr.zone == self.settings["zone"]] or near
        best = self.one_of(near)
        if self.beyond and not special and best not in part:
            # None of the part was free, so any of it may go for the one that was.
            part[(at := int(self.chance() * len(part))) : at + 1] = [best]
        slow, slots = self.slowness(best, now), best.slots
        above = best.load + load + self.extra(best, now) - max(slots, load)
        return best, above * self.run.mean * slow / slots if above > 0 else 0.0

    def order(self, key):
        """The workers in an order for each key that all dispatchers share, as ids are the same everywhere."""
        if key not in self.orders:
            salt = crc32(str(key).encode())
            # Multiplied, as sums of this kind alone would give like keys like orders.
            self.orders[key] = sorted(self.ready, key=lambda wkr: (wkr.name ^ salt) * 0x9E3779B1 % (1 << 32))
        return self.orders[key]

    def to_fetch(self, key, wkr, homes):
        return 0.0 if wkr in homes or wkr.last[0] == key else self.fetch.mean

    def homes_of(self, key):
        return self.homes.get(key) or self.order(key)[:1] if key else ()

    def settle_keys(self):
        """Each key gets as many homes as its jobs fill, the first in its order that are not crowded."""
        n, crowd = len(self.ready), Counter()
        # The first jobs tell little: as much is added as a job of another key for each worker.
        whole = max(1.0, sum(self.wanted.values()) + n * self.run.mean)
        self.homes = {}
        for key, wanted in self.wanted.most_common():
            share, order = wanted / whole, self.order(key)
            count = 1 + int(share * n)
            homes = [wkr for wkr in order if crowd[wkr] + share / count <= CROWDED / n][:count]
            self.homes[key] = homes = homes or order[:1]
            crowd.update(dict.fromkeys(homes, share / count))

    def one_of(self, near):
        """By chance, by declared size: most ranks tie where each dispatcher has few jobs out."""
        sums = list(accumulate([wkr.units for wkr in near]))
        return near[min(bisect_left(sums, self.chance() * sums[-1]), len(near) - 1)]

    @staticmethod
    def contention(wkr, now, span, load, var, extra):
        above, late = wkr.load + load + extra - (wkr.slots if wkr.slots > load else load), int(var)
        over, at, area = 0.0, 0, (load + extra) * span
        ends = [(min(end - now if end > now else late, span), width) for end, _, width in wkr.curve]
        if above > 0:
            ends.sort()
        for left, width in ends:
            area += width * left
            if above > 0:
                over += above * (left - at)
                at, above = left, above - width
        return over + above * (span - at) if above > 0 else over, area

    def turned_away(self, job, wait, wkr, now):
        """Under overload a queue only makes all answers late: by chance, the cheaper more often."""
        slack = job.target_at - now - job.mean * self.slowness(wkr, now)
        value = job.qt["utility"] / self.best_utility
        if self.chance() < self.excess(job.tenant):
            value *= self.settings["excess_utility"]
        if slack > 0:
            self.slack += GAIN * (slack - self.slack)
            self.value += GAIN * (value - self.value)
        if self.pressure > 0 and self.chance() < self.pressure ** (value / self.value):
            return True
        return wait > max(slack, self.settings["step"]) * value**0.5 * (0.5 + 0.5 * self.chance())

    def press(self, now):
        """By the mean of the last waits, summed up over time: a short trouble common to all passes."""
        # A dispatcher of little traffic holds old waits, and the fewer it lets through the older they get.
        since, self.pressed_at, fade = now - self.pressed_at, now, 4 * self.run.mean
        waits = [min(wait / (1 + (now - at) / fade), self.slack) for wait, at in self.waits]
        above = sum(waits) / len(waits) / self.slack - 0.5
        self.built = min(max(self.built + above * since / PRESSING, 0.0), 0.9)
        self.pressure = min(self.built + max(above, 0.0) / 2, 0.9)

    def excess(self, tenant):
        """The share of a tenant's traffic that is over its quota, as far as this dispatcher can tell."""
        tenants = self.settings["tenants"]
        quota = tenants[tenant]["quota"] if tenant < len(tenants) else 0
        rate = self.rates[tenant] / self.seconds / self.share if quota else 0
        return max(0.0, 1 - quota / self.settings["dispatchers"] / rate) if rate else 0.0

    def tidy(self, now):
        """Once a second: traffic fades; speeds stay relative, so what all share moves the estimates."""
        self.tidy_at = now + 1_000_000
        self.rates = [rate * 11 / 12 for rate in self.rates]
        self.work, self.seconds = self.work * (11 / 12), self.seconds + (1 - self.seconds / 12)
        self.survey()
        for sender in [sender for sender, told in self.others.items() if now - told[1] > 2 * RAREST]:
            self.forget_loads(sender)
        if self.wanted:
            self.wanted = Counter({key: work * 59 / 60 for key, work in self.wanted.most_common(KEYS_KEPT)})
            self.orders = {key: self.orders[key] for key in self.wanted if key in self.orders}
            self.settle_keys()
        # Learned slowness fades: a worker avoided for it is never measured again otherwise.
        fade = min(1.0, 1_000_000 / (16 * self.run.mean + 1))
        mean = sum(wkr.slow for wkr in self.ready) / max(1, len(self.ready))
        for wkr in self.ready:
            wkr.slow = wkr.slow / mean + fade * (1.0 - wkr.slow / mean)
            wkr.cold = wkr.cold and now - wkr.born < self.settings["cold_for"]

    def survey(self):
        """Figures over the whole fleet, once a second: taken for each job they cost more than deciding."""
        ready = self.ready
        # The most that was free in more than one report in fifty, as they are noisy.
        most = {
            kind: max(free for free, n in frees.items() if 50 * n > sum(frees.values()))
            for kind, frees in self.frees.items()
        }
        for wkr in ready if most else ():
            slots = max(1.0, most.get(wkr.kind, wkr.slots))
            wkr.peak = max(wkr.peak, slots) if self.settings["tells_start"] else slots
            wkr.slots = wkr.peak
        self.count_asides()
        slots = sum(wkr.peak for wkr in ready) / len(ready) if ready else 1.0
        # Slots that are told of may share cores, and a cold worker must not be taken for a larger one.
        self.capacity = (0.75 if most else 1.0) * slots / max(qt["ratio"].mean for qt in self.queue_types)
        settings, rate = self.settings, max(1.0, sum(self.rates) / self.seconds)
        budgets = [limit for limit in (settings["cpu_a_job"], settings["cpu_a_second"] / rate) if limit]
        # A large fleet looked at whole for each job would make all jobs late.
        self.look = max(4, int(min(budgets) / 2 / SWEEP)) if budgets else len(ready)
        # A dispatcher keeps to as many workers as it can know: beyond, what it learned of one is old before
        # it comes again, and each job costs a connection. Parts differ, so all workers are in some.
        size = max(PART, min(int(rate * settings["conn_idle"] / 2e6), self.look))
        self.beyond, size = size < len(ready), min(size, len(ready))
        kept = [wkr for wkr in self.part if wkr in ready and not wkr.aside]
        self.part = part = kept[:size] if self.beyond else ready
        for _ in range(8 * size):
            if len(part) >= size:
                break
            wkr = self.one_of(ready)
            if wkr not in part and not wkr.aside:
                part.append(wkr)
        # Messages go to all, so they are as rare as their price and the looks at them ask for.
        others = settings["dispatchers"] - 1
        wait = max(100_000, int(max(1.0, settings["price_peer"] / SHARE) * others / rate * 1e6))
        self.interval = wait if settings["may_message"] and 0 < others and wait <= RAREST else 0
        self.rate, self.done = rate, max(self.done * 0.99, self.work / self.seconds / 1e6)

    def launch(self, job, wkr, now, until=None):
        launch = Launch()
        launch.job, launch.wkr, launch.n, launch.sent = job, wkr, len(job.launches), now
        launch.load, launch.mean, launch.began, launch.heard = job.load, job.mean, 0, now
        launch.fetch, launch.sure = 0.0, True
        if not self.settings["tells_start"]:
            # No note ever comes: it must not be taken for one that waits, nor its worker for a full one.
            launch.began, wkr.running = now, wkr.running + job.load
        launch.ended = launch.may_have_run = launch.revoked = False
        if job.key:
            # Just used here, so it cannot have been put out yet.
            launch.sure = wkr.last[0] == job.key and now - wkr.last[1] < 2 * self.run.mean
            launch.fetch, wkr.last = self.to_fetch(job.key, wkr, self.homes_of(job.key)), (job.key, now)
        # Where no start is told, waits must not be learned as running times or as a worker's speed.
        launch.clear = not launch.began or wkr.load + job.load + self.extra(wkr, now) <= wkr.slots
        end = now + int((job.mean + job.var) * self.slowness(wkr, now) + launch.fetch)
        launch.mean += launch.fetch
        self.dues += 1
        launch.entry = (end, self.dues, job.load)
        insort(wkr.curve, launch.entry)
        wkr.load += job.load
        wkr.out[(job.id, launch.n)] = launch
        job.launches.append(launch)
        job.out += 1
        if wkr.born and now - wkr.born < self.settings["cold_for"]:
            wkr.credit -= job.work
            wkr.draw, wkr.drawn_at = self.chance(), now
        if self.settings["tells_start"]:
            # Not started in the time that a free worker takes: load that is not seen is in its way.
            slack = job.target_at - now - job.mean * self.slowness(wkr, now)
            part = 2 if self.settings["parallel"] else 3
            end = now + int(max(3 * (wkr.quick or 0) + 4 * self.settings["step"], slack / part))
        self.remind(end, launch)
        return ("launch", job.id, wkr.id, 0 if until is None else until - now)

    def check(self, launch, now):
        """A launch past its estimated end: is its worker silent or slow, and may the job go elsewhere?"""
        wkr, job = launch.wkr, launch.job
        if launch.began and launch.entry is not None and now < launch.entry[0]:
            return
        slow, told = self.slowness(wkr, now), self.settings["tells_start"]
        if launch.began and told:
            if (now - launch.began) / launch.mean > slow:
                self.learn_slow(wkr, (now - launch.began) / launch.mean, now)
        elif wkr.heard < launch.sent:
            due = self.lag.mean + 4 * self.lag.var + (self.run.mean if told else launch.mean * slow)
            if now - launch.sent > due:
                self.set_aside(wkr, None, launch, now)
        # Ever rarer: on an overloaded fleet looking again and again at all that waits makes all late.
        again = max(job.var, launch.mean / 2, (now - launch.sent) / 2, self.settings["step"])
        self.remind(now + int(again), launch)
        effect, parallel = job.qt["effect"], self.settings["parallel"]
        # No note when one was due, while others of that worker may go on: it is the connection that is dead.
        silent = launch.began and 0 < 5 * self.settings["progress_every"] < 4 * (now - launch.heard)
        waits = effect == "restartable" and not (parallel or launch.began) and self.settings["may_revoke"]
        late = now + job.mean * self.slowness(wkr, now) > job.target_at
        if waits and late and self.pressure > job.qt["late_utility"]:
            # Under overload a start that comes too late takes the room of one in time, and so on for all.
            job.last = now
            self.todo.append(job)
            return
        if silent and effect == "run-once" and now - launch.heard > 2 * self.settings["progress_every"]:
            self.silent(now, job.id, launch.n)
        if job.ended or launch.revoked or self.spare < 1 or job.out > 1 or effect == "run-once":
            return
        stays = not parallel and (launch.began and not silent or not self.settings["may_revoke"])
        if stays or len(job.launches) + 2 > self.settings["launches"]:
            return
        best, wait = self.pick(job, now, wkr if effect == "deduplicated" else None)
        if best is None or wait > 0:
            return
        there = now + job.mean * self.slowness(best, now)
        if launch.began and not wkr.aside and not silent:
            # As long again as it has run: the best guess for a job that outran its estimate.
            # But a hint is often this wrong, and a copy of a job that is about to end is waste.
            latest = min(2 * now - launch.began, job.target_at)
            if now - launch.began < 2 * (job.mean + job.var) or there > latest:
                return
        if effect == "deduplicated" and there > launch.sent + job.qt["window"]:
            return
        if parallel and effect == "restartable":
            job.again = True
            self.todo.append(job)
        else:
            self.spare -= 1
            self.stops.append(launch)
