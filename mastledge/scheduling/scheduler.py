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

from mastledge.scheduling.estimation import GAIN, VARIATION_MULTIPLIER, Estimate
from mastledge.scheduling.state import Job, Launch, Worker

HEDGE_SHARE = 0.2  # share of jobs copied, or under pressure moved, lest a shared trouble doubles the work
RECENT_WAITS = 9  # last starts whose waits tell overload
PRESSURE_RISE_US = 4_000_000  # over this time a full queue becomes rejections
FIRST_SLOTS = 8.0  # the design's start where no worker has shown its slots
NEVER_RAN, TURNED_AWAY = ("full", "unreachable", "unsent"), ("full", "doubted")
CUT_OFF = -1  # why a worker that takes no connection is set aside; None: lost or silent; else a queue type
MOST_KEYS = 4096
SMALLEST_SUBSET = 6  # workers that a dispatcher of little traffic keeps to
LONGEST_EJECTION_US = 4_000_000  # between two trials of a worker that was set aside
FETCH_CONTENTION_WEIGHT = (
    8  # fetches, as which one counts: each puts out a key that has to be fetched again, and so on
)
MOST_SHARE_OF_KEYS = 1.1  # times its part of the work, above which a worker is home to no more keys
MESSAGE_PRICE_SHARE = 0.005  # of all utility, what messages may cost
LONGEST_MESSAGE_INTERVAL_US = (
    2_000_000  # between two messages, above which what they tell is too old to be worth it
)
MOST_LOADS, MOST_WANTS = 30, 9  # in a message
LOOK_AT_WORKER_CPU_US = 0.2  # microseconds, in the settings' measure, that looking at one worker takes


class Scheduler:
    """The decisions of one dispatcher: inputs update what is known, `decide` gives what follows."""

    def __init__(self, settings, seed, now):
        self.seed, self.draws, self.queue_types, self.rates, self.settings = seed, 0, [], [], {"tenants": ()}
        self.adopt_settings(settings)
        self.running_time = Estimate(float(min(queue_type["target"] for queue_type in self.queue_types)), 0.0)
        self.start_waits, self.pressure_at, self.pressure = deque([(0, now)], RECENT_WAITS), now, 0.0
        self.sustained_pressure, self.completed_work, self.completed_rate, self.seconds = 0.0, 0.0, 0.0, 1.0
        self.mean_slack, self.mean_value, self.mean_work = self.running_time.mean, 0.5, self.running_time.mean
        self.start_lag = Estimate(4.0 * settings["step"], 4.0 * settings["step"])
        self.key_estimates, self.workers, self.ready, self.subset, self.jobs = {}, {}, [], [], {}
        self.pending, self.revocations, self.timers, self.sequence = deque(), deque(), [], 0
        self.hedge_budget, self.fade_at, self.shutdown_at = 2.0, now, None
        self.excluded, self.called_back, self.traffic_share = (
            (),
            {},
            1.0,
        )  # by the text of ids; see by_hand and sharing
        self.begin_following(now)
        # What others last told of, when it may be told again, and what was wanted since.
        self.peers, self.message_at, self.untold_wants, self.ready_by_name = {}, None, Counter(), {}
        # A key that is not at a worker takes a mean job's time, until more is learned.
        self.fetch_estimate = Estimate(self.running_time.mean, 0.0, 1)
        self.key_work, self.key_orders, self.homes, self.free_slot_counts = Counter(), {}, {}, {}
        self.survey_fleet()

    def adopt_settings(self, settings):
        """Queue types and tenants are told from those before by name, and keep what was learned of them."""
        before = {queue_type["name"]: queue_type for queue_type in self.queue_types}
        rates = dict(zip((tenant["name"] for tenant in self.settings["tenants"]), self.rates, strict=False))
        for queue_type in settings["queue_types"]:
            queue_type["ratio"], queue_type["run"] = (
                Estimate(1.0, 0.5),
                Estimate(float(queue_type["target"]), queue_type["target"] / 2),
            )
            queue_type["most_patience"] = 0
            for learned in ("ratio", "run", "most_patience"):
                queue_type[learned] = before.get(queue_type["name"], queue_type)[learned]
        self.settings, self.queue_types = settings, settings["queue_types"]
        self.rates = [rates.get(tenant["name"], 0.0) for tenant in settings["tenants"]] or [sum(self.rates)]
        self.best_utility = max(queue_type["utility"] for queue_type in self.queue_types) or 1.0

    def begin_following(self, now):
        self.following, self.fails, self.follow_at = self.settings["follow"] == "pushed", 0, None
        if not self.following:
            # Dispatchers restarted together must not ask in step.
            self.follow_at = now + int(self.chance() * 100 * self.settings["step"])

    def chance(self):
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) / 4294967296.0

    def set_timer(self, when, what):
        self.sequence += 1
        heappush(self.timers, (when, self.sequence, what))

    # Inputs

    def update_endpoints(self, now, kind, entries):
        if kind == "failed":
            self.following = False
            self.fails += 1
            # Back-off with jitter, but well inside the time after which this dispatcher counts as told.
            wait = min((1 << min(self.fails, 6)) * 250_000, self.settings["ask_within"] // 4 or 1_000_000)
            self.follow_at = now + int(wait * (0.5 + self.chance() / 2))
            return
        if kind != "cached":
            self.following, self.fails, self.follow_at = True, 0, None
        named = {entry[1] for entry in entries}
        for zone, worker_id, state, born, cls, cell, units in entries:
            worker, born = self.workers.get(worker_id), max(born, self.called_back.get(str(worker_id), 0))
            if worker is None:
                others = [w.slots for w in self.ready] or [FIRST_SLOTS]
                worker = self.workers[worker_id] = Worker(worker_id, sum(others) / len(others), born, now)
            elif born > worker.born:
                worker.begin_incarnation(born, now)
            worker.zone, worker.kind, worker.cell, worker.units, worker.state = zone, cls, cell, units, state
        for worker in self.workers.values() if kind != "changes" else ():
            worker.state = worker.state if worker.id in named else "gone"
        # Each release brings new ids: who has gone is forgotten, once nothing of it is out.
        self.workers = {
            worker.id: worker
            for worker in self.workers.values()
            if worker.state != "gone" or worker.in_flight
        }
        self.refresh_ready()

    def set_excluded(self, now, out, back):
        """Who is out, whatever the list says, and when who was called back: restarted unseen, so as new."""
        self.excluded, self.called_back = out, back
        for worker in self.workers.values():
            if back.get(str(worker.id), 0) > worker.born:
                worker.begin_incarnation(back[str(worker.id)], now)
        self.refresh_ready()

    def refresh_ready(self):
        listed = (worker for worker in self.workers.values() if worker.state == "ready")
        self.ready = [worker for worker in listed if str(worker.id) not in self.excluded]
        self.key_orders, self.ready_by_name = {}, {worker.name_hash: worker for worker in self.ready}
        self.assign_homes()
        self.survey_fleet()

    def job_arrived(self, now, job_id, qtype, hint, key, width, memory, tenant, patience):
        job, queue_type = Job(), self.queue_types[qtype]
        job.id, job.queue_type, job.key, job.hint, job.load = (
            job_id,
            queue_type,
            key,
            hint,
            max(width, memory),
        )
        job.tenant, job.arrived_at = tenant, now
        job.launches, job.in_flight, job.ended, job.wants_hedge = [], 0, False, False
        # Two steps early: a timer is rung at a step's end, and the answer takes effect there.
        job.deadline = min(
            now + max(0, patience - 2 * self.settings["step"]), self.shutdown_at or now + patience
        )
        queue_type["most_patience"] = max(queue_type["most_patience"], patience)
        self.estimate_running_time(job)
        # A small rough hint is mostly error, so it counts halfway to a mean job where a worker is cold.
        job.work = max(hint or job.mean, ((hint or job.mean) + self.mean_work) / 2) * job.load
        if key:
            self.key_work[key] += hint or job.mean
            if len(self.untold_wants) < MOST_KEYS:
                self.untold_wants[key] += hint or job.mean
        if self.message_at is None and self.message_interval:
            self.message_at = now + self.message_interval
        aim = min(
            queue_type["target"] + int(queue_type["stretch"] * (hint or job.mean)), queue_type["walltime"]
        )
        # A later try's time is counted from the client's first one.
        job.target_at = now + aim - max(0, queue_type["most_patience"] - patience)
        self.rates[tenant if tenant < len(self.rates) else 0] += 1.0
        # What was not used is saved for a second only: of hundreds of dispatchers none may save for a flood.
        # Under overload a copy is work for nothing, and a move loses its place in a queue for another's end.
        free, pressed = (HEDGE_SHARE, 0.0) if self.settings["parallel"] else (1.0, HEDGE_SHARE)
        share = pressed if self.pressure else free
        self.hedge_budget = min(1 + share * self.arrival_rate, self.hedge_budget + share)
        self.jobs[job_id] = job
        self.pending.append(job)
        self.set_timer(job.deadline, job)

    def reconfigure(self, now, settings):
        """New settings: open jobs keep the terms that they were taken under, and what was learned stays."""
        follow = self.settings["follow"]
        self.adopt_settings(settings)
        if settings["follow"] != follow:
            self.begin_following(now)
        self.survey_fleet()

    def set_traffic_share(self, now, share):
        self.traffic_share = share  # of what is this dispatcher's, where it is two processes

    def shut_down_at(self, now, last):
        """The host ends then: what is open is given up while that can still be told."""
        self.shutdown_at = last - 2 * self.settings["step"]
        for job in self.jobs.values():
            job.deadline = min(job.deadline, self.shutdown_at)
            self.set_timer(job.deadline, job)

    def find_launch(self, job_id, number):
        job = self.jobs.get(job_id)
        return job.launches[number] if job is not None and number < len(job.launches) else None

    def launch_started(self, now, job_id, number):
        launch = self.find_launch(job_id, number)
        if launch is None or launch.started_at or launch.ended:
            return
        worker = launch.worker
        launch.started_at = launch.heard_at = worker.heard_at = now
        if launch.curve_entry is None:
            return
        lag, worker.running, step = now - launch.sent_at, worker.running + launch.load, self.settings["step"]
        quick = worker.start_lag = (
            min(lag, worker.start_lag + (worker.start_lag >> 9)) if worker.start_lag else min(lag, 2 * step)
        )
        # Rises slowly and starts low, or a dispatcher that starts under overload takes queues for the usual.
        wait = lag - 3 * quick - 4 * step
        self.start_lag.learn(lag)
        worker.peak = max(worker.peak, worker.running)
        worker.slots = max(worker.slots, worker.peak)
        job = launch.job
        if job.in_flight > 1 and self.settings["may_revoke"]:
            self.revocations.extend(
                other for other in job.launches if not other.started_at and not other.ended
            )
        self.start_waits.append((max(0, wait), now))
        if wait > 0:
            worker.slots += GAIN * (max(worker.peak, worker.running) - worker.slots)
            extra = max(0.0, worker.slots - worker.running) + wait * worker.slots / self.running_time.mean / 2
        else:
            extra = min(self.other_load(worker, now), max(0.0, worker.slots - worker.running))
        worker.other_load, worker.other_load_at = extra, now
        end = now + int((launch.mean + job.variation) * self.slowness(worker, now))
        self.move_in_curve(launch, end)
        self.set_timer(end, launch)

    def launch_progressed(self, now, job_id, number, share):
        launch = self.find_launch(job_id, number)
        if launch is not None and not launch.ended:
            launch.heard_at = launch.worker.heard_at = now

    def launch_silent(self, now, job_id, number):
        launch = self.find_launch(job_id, number)
        # Others are heard: its connection is dead, and it must not be taken for a queue until its walltime.
        if launch is not None and launch.curve_entry is not None and launch.worker.heard_at > launch.heard_at:
            self.remove_from_curve(launch)

    def launch_ended(self, now, job_id, number, how, lag, final, report):
        job, launch = self.jobs.get(job_id), self.find_launch(job_id, number)
        if launch is None or launch.ended:
            return
        launch.ended, launch.may_have_run = True, how not in NEVER_RAN
        job.in_flight -= 1
        if launch.curve_entry is not None:
            self.remove_from_curve(launch)
            if how in TURNED_AWAY or not launch.started_at and how in ("revoked", "timeout"):
                # What never started waited longest, and would be missing where most is moved or refused.
                self.start_waits.append(
                    (self.mean_slack if how in TURNED_AWAY else now - launch.sent_at, now)
                )
        if how not in ("timeout", "revoked", "unsent", "dropped"):
            self.learn_from_end(now, launch, how, lag)
        if report and self.settings["report_how"] == "piggyback":
            self.learn_from_report(now, launch, report)
        self.close_job(job) if final or job.ended else self.pending.append(job)

    def job_abandoned(self, now, job_id):
        job = self.jobs.get(job_id)
        if job is not None and not job.ended:
            self.close_job(job)

    def load_message_received(self, now, sender, told_at, loads, wants):
        """What another dispatcher has out at each worker, and the keys that its jobs wanted lately."""
        before = self.peers.get(sender)
        if sender == self.settings["me"] or before and before[0] >= told_at:
            return
        if before:
            self.forget_loads(sender)
        known = [(self.ready_by_name[name], load) for name, load in loads if name in self.ready_by_name]
        for worker, load in known:
            worker.gossiped_load += load
        self.peers[sender] = told_at, now, [(worker, worker.born, load) for worker, load in known]
        self.key_work.update(dict(wants))

    def forget_loads(self, sender):
        for worker, born, load in self.peers.pop(sender)[2]:
            if worker.born == born:
                worker.gossiped_load -= load

    # What is known

    def remove_from_curve(self, launch):
        worker, curve = launch.worker, launch.worker.load_curve
        del curve[bisect_left(curve, launch.curve_entry)]
        launch.curve_entry = None
        worker.in_flight.pop((launch.job.id, launch.number), None)
        worker.load = sum(entry[2] for entry in curve)
        if launch.started_at:
            worker.running = max(0.0, worker.running - launch.load)

    def move_in_curve(self, launch, end):
        curve = launch.worker.load_curve
        del curve[bisect_left(curve, launch.curve_entry)]
        launch.curve_entry = (end, *launch.curve_entry[1:])
        insort(curve, launch.curve_entry)

    def estimate_running_time(self, job):
        """Running time on the mean worker: by the hint of this very job, else the key's, else the type's."""
        queue_type = job.queue_type
        known, unit = (queue_type["ratio"], job.hint) if job.hint else (queue_type["run"], 1)
        if job.key and not job.hint:
            known = self.key_estimates.get(job.key)
            if known is None:
                if len(self.key_estimates) >= MOST_KEYS:
                    del self.key_estimates[next(iter(self.key_estimates))]
                others = list(self.key_estimates.values()) or [queue_type["run"]]
                known = self.key_estimates[job.key] = Estimate(
                    sum(k.mean for k in others) / len(others), sum(k.variation for k in others) / len(others)
                )
        job.mean, job.variation = max(unit * known.mean, 1.0), VARIATION_MULTIPLIER * unit * known.variation

    def learn_from_end(self, now, launch, how, lag):
        job, worker, queue_type = launch.job, launch.worker, launch.job.queue_type
        if how == "completed":
            worker.heard_at = now
            # News that the host itself took up late, after a stall of its own, says nothing of the worker.
            end = launch.sent_at + lag if now - launch.sent_at - lag > 2 * self.settings["step"] else now
            run = max(1, end - (launch.started_at or launch.sent_at))
            slow = self.slowness(worker, now)
            if launch.uncontended:
                self.learn_slowness(worker, run / launch.mean, now)
            self.running_time.learn(run)
            if not self.settings["tells_start"]:
                self.start_lag.learn(max(0, run - launch.mean * slow))
            self.completed_work += (job.hint or job.mean) * job.load
            self.mean_work += GAIN / 8 * ((job.hint or job.mean) - self.mean_work)
            queue_type["run"].learn(run)
            if launch.uncontended and launch.fetch_time:
                self.fetch_estimate.learn(min(max(0.0, run / slow - job.mean), 4 * self.fetch_estimate.mean))
            elif launch.uncontended and launch.fetch_certain:
                if job.hint:
                    told, usual = min(run / slow, 8 * launch.mean) / job.hint, queue_type["ratio"].mean
                    # A short wait is many times a small hint.
                    part = min(1.0, job.hint / queue_type["run"].mean) if job.key else 1.0
                    queue_type["ratio"].learn(usual + (told - usual) * part)
                if job.key in self.key_estimates:
                    self.key_estimates[job.key].learn(run)
            if worker.ejections:
                self.trial_completed(worker, launch)
            return
        if how in ("error", *TURNED_AWAY):
            worker.heard_at = now
        if how in TURNED_AWAY:
            worker.other_load, worker.other_load_at = 2 * worker.slots, now
        # A release may fail one queue type alone, and quickly, which makes its curve look empty.
        self.eject(worker, {"unreachable": CUT_OFF, "lost": None}.get(how, queue_type["name"]), launch, now)

    def learn_from_report(self, now, launch, report):
        """What a worker told of its load with an answer, less what was one's own when that was made."""
        worker, told = launch.worker, dict(zip(self.settings["report_fields"], report, strict=False))
        free, backlog = told.get("free_slots", -1.0), told.get("backlog", 0.0)
        # The same figures again are the same report, only older. And absurd ones must not reach a curve.
        if report == worker.last_report or not (0 <= free < 1e4 and 0 <= backlog < 1e6):
            return
        worker.last_report = report
        self.free_slot_counts.setdefault(worker.kind, Counter())[round(free)] += 1
        self.start_waits.append((int(backlog * self.running_time.mean / worker.slots), now))
        made = now - self.running_time.mean
        own = sum(other.load for other in (launch, *worker.in_flight.values()) if other.sent_at < made)
        worker.other_load, worker.other_load_at = max(0.0, worker.slots - free + backlog - own), now
        worker.usual_other_load += GAIN * (worker.other_load - worker.usual_other_load)

    def eject(self, worker, why, launch, now):
        dear = 4 if launch.may_have_run and launch.job.queue_type["effect"] == "run-once" else 1
        aside = worker.ejections.get(why)
        if aside is None:
            aside = worker.ejections[why] = SimpleNamespace(pause=dear * 125_000)
        elif launch.sent_at < aside.back_at - aside.pause:
            return
        aside.trickle, aside.good, aside.pause = 1, 0, min(2 * aside.pause, dear * LONGEST_EJECTION_US)
        aside.back_at = now + aside.pause
        self.count_ejections()

    def trial_completed(self, worker, launch):
        """What was sent before it was set aside proves nothing of how it does now."""
        for why in (None, CUT_OFF, launch.job.queue_type["name"]):
            aside = worker.ejections.get(why)
            if aside is not None and launch.sent_at >= aside.back_at:
                aside.good += 1
                if aside.good >= aside.trickle:
                    aside.trickle, aside.good = 2 * aside.trickle, 0
                if aside.trickle > worker.slots:
                    del worker.ejections[why]
                    self.count_ejections()

    def count_ejections(self):
        self.ejection_counts = Counter(
            chain.from_iterable([worker.ejections for worker in self.ready if worker.ejections])
        )

    def learn_slowness(self, worker, ratio, now):
        # What a cold worker is assumed to lack must not be learned as its slowness as well.
        ratio *= self.least_warmth(worker, now)
        worker.slow += GAIN * (min(ratio, 8.0 * worker.slow) - worker.slow)

    def least_warmth(self, worker, now):
        """The least share of its capacity that a worker can have by now."""
        age, cold_for = now - worker.born, self.settings["cold_for"]
        if not worker.born or age >= cold_for:
            return 1.0
        low = self.settings["cold_from"]
        return low + (1 - low) * max(0, age) / cold_for

    def slowness(self, worker, now):
        return worker.slow / self.least_warmth(worker, now) if worker.born else worker.slow

    def other_load(self, worker, now):
        """Load of others, as last seen, fading; never less than what keeps own jobs waiting."""
        if self.peers and 2 * len(self.peers) >= self.settings["dispatchers"]:
            return max(0.0, worker.gossiped_load)
        extra = worker.usual_other_load + (worker.other_load - worker.usual_other_load) / (
            1 + (now - worker.other_load_at) / self.running_time.mean
        )
        if worker.running < worker.load:
            for launch in worker.in_flight.values():
                if not launch.started_at:
                    if now - launch.sent_at > 3 * (worker.start_lag or 0) + 4 * self.settings["step"]:
                        extra = max(extra, worker.slots - worker.running)
                    break
        return extra

    def close_job(self, job):
        job.ended = True
        if not job.in_flight:
            self.jobs.pop(job.id, None)
        elif self.settings["may_revoke"]:
            self.revocations.extend(launch for launch in job.launches if not launch.ended)

    def learned_state(self):
        """What a process that takes over starts from, in plain values and by the text of ids."""
        return {
            str(worker.id): [
                worker.slots,
                worker.peak,
                worker.slow,
                [[why, vars(aside)] for why, aside in worker.ejections.items()],
            ]
            for worker in self.ready
        }

    def restore_learned(self, now, told):
        for worker in self.ready:
            slots, peak, slow, asides, *out = told.get(str(worker.id), (0, 0, 0, ()))
            worker.slots, worker.peak, worker.slow = (
                slots or worker.slots,
                peak or worker.peak,
                slow or worker.slow,
            )
            worker.ejections = {why: SimpleNamespace(**aside) for why, aside in asides}
            worker.other_load, worker.other_load_at = (
                (*out, now) if out else (worker.other_load, worker.other_load_at)
            )  # of a former life
        self.survey_fleet()

    def count_skipped_workers(self, now):
        """How many workers of the list get nothing now."""
        return sum(
            worker not in self.ready or any(now < aside.back_at for aside in worker.ejections.values())
            for worker in self.workers.values()
            if worker.state != "gone"
        )

    # Decisions

    def wake_at(self):
        due = self.timers
        while due and due[0][2].ended:
            heappop(due)
        soon = due[0][0] if due else None
        if self.follow_at is None and self.message_at is None:
            return soon
        return min(at for at in (soon, self.follow_at, self.message_at) if at is not None)

    def decide(self, now):
        if self.fade_at <= now:
            self.fade_learned(now)
        if self.follow_at is not None and self.follow_at <= now:
            # Asking counts even when the answer is lost: ask again well before being taken as told.
            self.follow_at = now + (self.settings["ask_within"] // 2 or 5_000_000)
            return ("follow", True)
        if self.message_at is not None and self.message_at <= now:
            self.message_at = now + self.message_interval if self.message_interval and self.jobs else None
            return self.load_message(now)
        while self.timers and self.timers[0][0] <= now:
            what = heappop(self.timers)[2]
            if not what.ended:
                self.check_launch(what, now) if what.__class__ is Launch else self.pending.append(what)
        while self.revocations:
            launch = self.revocations.popleft()
            if not launch.ended and not launch.revoked:
                launch.revoked = True
                return ("revoke", launch.job.id, launch.number)
        while self.pending:
            job = self.pending.popleft()
            if not job.ended and (decision := self.decide_job(job, now)) is not None:
                return decision
        return None

    def load_message(self, now):
        busiest = sorted(self.ready, key=lambda worker: -worker.load)[:MOST_LOADS]
        wants = [(key, self.untold_wants.pop(key)) for key, _ in self.untold_wants.most_common(MOST_WANTS)]
        return ("message", now, [(worker.name_hash, worker.load) for worker in busiest if worker.load], wants)

    def decide_job(self, job, now):
        if now >= job.deadline:
            return self.reject_or_kill(job, 0)
        again, job.wants_hedge = job.wants_hedge, False
        if job.in_flight and not again:
            return None
        group, until = None, None
        for launch in job.launches:
            if launch.may_have_run or not launch.ended:
                if job.queue_type["effect"] == "run-once":
                    return self.reject_or_kill(job, 0) if not job.in_flight else None
                if job.queue_type["effect"] == "deduplicated" and group is None:
                    group, until = launch.worker, launch.sent_at + job.queue_type["window"]
        if len(job.launches) >= self.settings["launches"] or (until is not None and now >= until):
            return self.reject_or_kill(job, 0) if not job.in_flight else None
        best, wait = self.pick_worker(job, now, group)
        if best is None and not job.in_flight:
            if group is None and now >= max(job.target_at, job.arrived_at + self.settings["connect_timeout"]):
                return self.reject_or_kill(job, self.settings["connect_timeout"])
            self.set_timer(now + 5 * self.settings["step"], job)
        if best is None:
            return None
        self.update_pressure(now)
        if not job.launches and self.sheds(job, wait, best, now):
            return self.reject_or_kill(job, wait)
        if job.in_flight:
            self.hedge_budget -= 1
        return self.launch(job, best, now, until)

    def reject_or_kill(self, job, hold_off):
        """A rejection says that trying again is harmless; where that is not known the job is killed."""
        effect, maybe = job.queue_type["effect"], any(ln.may_have_run or not ln.ended for ln in job.launches)
        harmless = (
            not maybe or effect == "restartable" or effect != "run-once" and job.queue_type["group"] == "all"
        )
        self.close_job(job)
        most = self.settings["most_hold_off"] if self.settings["may_hold_off"] else 0
        return ("reject", job.id, min(int(hold_off), most)) if harmless else ("kill", job.id)

    def eligible(self, worker, job, now, group):
        kind = job.queue_type["kind"]
        if kind >= 0 and worker.kind != kind:
            return False
        if (
            group
            and (scope := job.queue_type["group"]) != "all"
            and getattr(worker, scope) != getattr(group, scope)
        ):
            return False
        once, own = job.queue_type["effect"] == "run-once", (None, CUT_OFF, job.queue_type["name"])
        # Where one queue type fails the others may, and jobs that may run again find that out at less cost.
        for why in (worker.ejections if once else own) if worker.ejections else ():
            aside = worker.ejections.get(why)
            # A trouble that most of the fleet shares is no reason to set workers aside.
            # But no connection is no slowness: with a zone cut off, those that are left carry the jobs.
            most = len(self.ready) - 1 if why == CUT_OFF else len(self.ready) / 2
            if aside is not None and self.ejection_counts[why] <= most:
                wait = 2 * LONGEST_EJECTION_US if why in (None, CUT_OFF) else aside.pause * (why not in own)
                if now < aside.back_at + wait * once or (
                    why in own and len(worker.in_flight) >= aside.trickle
                ):
                    return False
        again = len(job.launches) >= len(self.ready)
        if any(launch.worker is worker and not (launch.ended and again) for launch in job.launches):
            return False
        return (
            not worker.born
            or now - worker.born >= self.settings["cold_for"]
            or self.within_slow_start_budget(worker, job, now)
        )

    def within_slow_start_budget(self, worker, job, now):
        """Cold workers fall over under the sum of all: one's own part is set against one's completed work."""
        settings, work = self.settings, job.work
        half, room = settings["fall_for"] // 2, settings["fall_multiple"] * self.least_warmth(worker, now)
        # Under overload all look past their parts, and then at most half as much again comes from there.
        sharers = (
            len(self.subset) if self.looks_past_subset and worker in self.subset else 2 * len(self.ready)
        )
        rate = (
            room
            * max(self.completed_rate / sharers, 0.7 * self.capacity / settings["dispatchers"])
            * self.traffic_share
        )
        worker.credit, worker.credit_at = (
            min(worker.credit + rate * (now - worker.credit_at), rate * half),
            now,
        )
        if now >= worker.threshold_drawn_at + half:
            worker.credit_threshold, worker.threshold_drawn_at = self.chance(), now
        return work <= room * self.capacity * half / 2 and worker.credit > worker.credit_threshold * work

    def pick_worker(self, job, now, group):
        """Least contention, then least integrated load (Worst-Fit), then chance (paper, section 4.4)."""
        best, least, found = None, (0.0, 0.0), []
        mean, var, load, told = job.mean, job.variation, job.load, self.free_slot_counts or self.peers
        special = job.launches or job.queue_type["kind"] >= 0
        part = () if special else self.subset
        size, look = max(4, len(self.subset)), self.most_looked_at
        first, homes = int(self.chance() * len(self.ready)), self.homes_of(job.key)
        rest = chain(self.ready[first:], self.ready[:first]) if special or self.looks_past_subset else ()
        for seen, worker in enumerate(chain(part, rest)):
            # Past the own part only while no worker is free, and no further than the CPU allows.
            if seen >= size and found and (least[0] <= 0 or seen >= look):
                break
            if (worker.ejections or worker.warming_up or special) and not self.eligible(
                worker, job, now, group
            ):
                continue
            slow = self.slowness(worker, now) if worker.warming_up else worker.slow
            # CPU is scarce and this runs for each worker and job: no call where its answer is plain.
            others = (
                worker.running < worker.load
                or worker.other_load
                or told
                and (worker.usual_other_load or worker.gossiped_load)
            )
            extra = self.other_load(worker, now) if others else 0.0
            fetch = self.fetch_time(job.key, worker, homes) if homes else 0.0
            span = int((mean + var) * slow + fetch)
            busy = worker.load_curve or extra
            rank = self.contention(worker, now, span, load, var, extra) if busy else (0.0, load * span)
            if told and worker.last_report or fetch:
                # Room is what is left of the slots, as kinds differ; one held for a fetch does nobody's work.
                room = worker.slots * int(mean + var) if worker.last_report else 0.0
                rank = rank[0] + FETCH_CONTENTION_WEIGHT * load * fetch, rank[1] - room
            found.append((rank, worker))
            if best is None or rank < least:
                best, least = worker, rank
        if best is None:
            return None, 0.0
        # Areas closer than the estimator's own variation are a tie; a tie need not cross zones for nothing.
        over, area = least[0], least[1] + load * var
        near = [worker for rank, worker in found if rank[0] == over and rank[1] <= area]
        if self.settings["price_crossing"]:
            near = [worker for worker in near if worker.zone == self.settings["zone"]] or near
        best = self.draw_by_size(near)
        if self.looks_past_subset and not special and best not in part:
            # None of the part was free, so any of it may go for the one that was.
            part[(at := int(self.chance() * len(part))) : at + 1] = [best]
        slow, slots = self.slowness(best, now), best.slots
        above = best.load + load + self.other_load(best, now) - max(slots, load)
        return best, above * self.running_time.mean * slow / slots if above > 0 else 0.0

    def order(self, key):
        """The workers in an order for each key that all dispatchers share, as ids are the same everywhere."""
        if key not in self.key_orders:
            salt = crc32(str(key).encode())
            # Multiplied, as sums of this kind alone would give like keys like orders.
            self.key_orders[key] = sorted(
                self.ready, key=lambda worker: (worker.name_hash ^ salt) * 0x9E3779B1 % (1 << 32)
            )
        return self.key_orders[key]

    def fetch_time(self, key, worker, homes):
        return 0.0 if worker in homes or worker.last_key[0] == key else self.fetch_estimate.mean

    def homes_of(self, key):
        return self.homes.get(key) or self.order(key)[:1] if key else ()

    def assign_homes(self):
        """Each key gets as many homes as its jobs fill, the first in its order that are not crowded."""
        n, crowd = len(self.ready), Counter()
        # The first jobs tell little: as much is added as a job of another key for each worker.
        whole = max(1.0, sum(self.key_work.values()) + n * self.running_time.mean)
        self.homes = {}
        for key, wanted in self.key_work.most_common():
            share, order = wanted / whole, self.order(key)
            count = 1 + int(share * n)
            homes = [worker for worker in order if crowd[worker] + share / count <= MOST_SHARE_OF_KEYS / n][
                :count
            ]
            self.homes[key] = homes = homes or order[:1]
            crowd.update(dict.fromkeys(homes, share / count))

    def draw_by_size(self, near):
        """By chance, by declared size: most ranks tie where each dispatcher has few jobs out."""
        sums = list(accumulate([worker.units for worker in near]))
        return near[min(bisect_left(sums, self.chance() * sums[-1]), len(near) - 1)]

    @staticmethod
    def contention(worker, now, span, load, var, extra):
        above, late = worker.load + load + extra - (worker.slots if worker.slots > load else load), int(var)
        over, at, area = 0.0, 0, (load + extra) * span
        ends = [(min(end - now if end > now else late, span), width) for end, _, width in worker.load_curve]
        if above > 0:
            ends.sort()
        for left, width in ends:
            area += width * left
            if above > 0:
                over += above * (left - at)
                at, above = left, above - width
        return over + above * (span - at) if above > 0 else over, area

    def sheds(self, job, wait, worker, now):
        """Under overload a queue only makes all answers late: by chance, the cheaper more often."""
        slack = job.target_at - now - job.mean * self.slowness(worker, now)
        value = job.queue_type["utility"] / self.best_utility
        if self.chance() < self.over_quota_share(job.tenant):
            value *= self.settings["excess_utility"]
        if slack > 0:
            self.mean_slack += GAIN * (slack - self.mean_slack)
            self.mean_value += GAIN * (value - self.mean_value)
        if self.pressure > 0 and self.chance() < self.pressure ** (value / self.mean_value):
            return True
        return wait > max(slack, self.settings["step"]) * value**0.5 * (0.5 + 0.5 * self.chance())

    def update_pressure(self, now):
        """By the mean of the last waits, summed up over time: a short trouble common to all passes."""
        # A dispatcher of little traffic holds old waits, and the fewer it lets through the older they get.
        since, self.pressure_at, fade = now - self.pressure_at, now, 4 * self.running_time.mean
        waits = [min(wait / (1 + (now - at) / fade), self.mean_slack) for wait, at in self.start_waits]
        above = sum(waits) / len(waits) / self.mean_slack - 0.5
        self.sustained_pressure = min(
            max(self.sustained_pressure + above * since / PRESSURE_RISE_US, 0.0), 0.9
        )
        self.pressure = min(self.sustained_pressure + max(above, 0.0) / 2, 0.9)

    def over_quota_share(self, tenant):
        """The share of a tenant's traffic that is over its quota, as far as this dispatcher can tell."""
        tenants = self.settings["tenants"]
        quota = tenants[tenant]["quota"] if tenant < len(tenants) else 0
        rate = self.rates[tenant] / self.seconds / self.traffic_share if quota else 0
        return max(0.0, 1 - quota / self.settings["dispatchers"] / rate) if rate else 0.0

    def fade_learned(self, now):
        """Once a second: traffic fades; speeds stay relative, so what all share moves the estimates."""
        self.fade_at = now + 1_000_000
        self.rates = [rate * 11 / 12 for rate in self.rates]
        self.completed_work, self.seconds = (
            self.completed_work * (11 / 12),
            self.seconds + (1 - self.seconds / 12),
        )
        self.survey_fleet()
        for sender in [
            sender for sender, told in self.peers.items() if now - told[1] > 2 * LONGEST_MESSAGE_INTERVAL_US
        ]:
            self.forget_loads(sender)
        if self.key_work:
            self.key_work = Counter(
                {key: work * 59 / 60 for key, work in self.key_work.most_common(MOST_KEYS)}
            )
            self.key_orders = {key: self.key_orders[key] for key in self.key_work if key in self.key_orders}
            self.assign_homes()
        # Learned slowness fades: a worker avoided for it is never measured again otherwise.
        fade = min(1.0, 1_000_000 / (16 * self.running_time.mean + 1))
        mean = sum(worker.slow for worker in self.ready) / max(1, len(self.ready))
        for worker in self.ready:
            worker.slow = worker.slow / mean + fade * (1.0 - worker.slow / mean)
            worker.warming_up = worker.warming_up and now - worker.born < self.settings["cold_for"]

    def survey_fleet(self):
        """Figures over the whole fleet, once a second: taken for each job they cost more than deciding."""
        ready = self.ready
        # The most that was free in more than one report in fifty, as they are noisy.
        most = {
            kind: max(free for free, n in frees.items() if 50 * n > sum(frees.values()))
            for kind, frees in self.free_slot_counts.items()
        }
        for worker in ready if most else ():
            slots = max(1.0, most.get(worker.kind, worker.slots))
            worker.peak = max(worker.peak, slots) if self.settings["tells_start"] else slots
            worker.slots = worker.peak
        self.count_ejections()
        slots = sum(worker.peak for worker in ready) / len(ready) if ready else 1.0
        # Slots that are told of may share cores, and a cold worker must not be taken for a larger one.
        self.capacity = (
            (0.75 if most else 1.0) * slots / max(queue_type["ratio"].mean for queue_type in self.queue_types)
        )
        settings, rate = self.settings, max(1.0, sum(self.rates) / self.seconds)
        budgets = [limit for limit in (settings["cpu_a_job"], settings["cpu_a_second"] / rate) if limit]
        # A large fleet looked at whole for each job would make all jobs late.
        self.most_looked_at = max(4, int(min(budgets) / 2 / LOOK_AT_WORKER_CPU_US)) if budgets else len(ready)
        # A dispatcher keeps to as many workers as it can know: beyond, what it learned of one is old before
        # it comes again, and each job costs a connection. Parts differ, so all workers are in some.
        size = max(SMALLEST_SUBSET, min(int(rate * settings["conn_idle"] / 2e6), self.most_looked_at))
        self.looks_past_subset, size = size < len(ready), min(size, len(ready))
        kept = [worker for worker in self.subset if worker in ready and not worker.ejections]
        self.subset = part = kept[:size] if self.looks_past_subset else ready
        for _ in range(8 * size):
            if len(part) >= size:
                break
            worker = self.draw_by_size(ready)
            if worker not in part and not worker.ejections:
                part.append(worker)
        # Messages go to all, so they are as rare as their price and the looks at them ask for.
        others = settings["dispatchers"] - 1
        wait = max(100_000, int(max(1.0, settings["price_peer"] / MESSAGE_PRICE_SHARE) * others / rate * 1e6))
        self.message_interval = (
            wait if settings["may_message"] and 0 < others and wait <= LONGEST_MESSAGE_INTERVAL_US else 0
        )
        self.arrival_rate, self.completed_rate = (
            rate,
            max(self.completed_rate * 0.99, self.completed_work / self.seconds / 1e6),
        )

    def launch(self, job, worker, now, until=None):
        launch = Launch()
        launch.job, launch.worker, launch.number, launch.sent_at = job, worker, len(job.launches), now
        launch.load, launch.mean, launch.started_at, launch.heard_at = job.load, job.mean, 0, now
        launch.fetch_time, launch.fetch_certain = 0.0, True
        if not self.settings["tells_start"]:
            # No note ever comes: it must not be taken for one that waits, nor its worker for a full one.
            launch.started_at, worker.running = now, worker.running + job.load
        launch.ended = launch.may_have_run = launch.revoked = False
        if job.key:
            # Just used here, so it cannot have been put out yet.
            launch.fetch_certain = (
                worker.last_key[0] == job.key and now - worker.last_key[1] < 2 * self.running_time.mean
            )
            launch.fetch_time, worker.last_key = (
                self.fetch_time(job.key, worker, self.homes_of(job.key)),
                (job.key, now),
            )
        # Where no start is told, waits must not be learned as running times or as a worker's speed.
        launch.uncontended = (
            not launch.started_at or worker.load + job.load + self.other_load(worker, now) <= worker.slots
        )
        end = now + int((job.mean + job.variation) * self.slowness(worker, now) + launch.fetch_time)
        launch.mean += launch.fetch_time
        self.sequence += 1
        launch.curve_entry = (end, self.sequence, job.load)
        insort(worker.load_curve, launch.curve_entry)
        worker.load += job.load
        worker.in_flight[(job.id, launch.number)] = launch
        job.launches.append(launch)
        job.in_flight += 1
        if worker.born and now - worker.born < self.settings["cold_for"]:
            worker.credit -= job.work
            worker.credit_threshold, worker.threshold_drawn_at = self.chance(), now
        if self.settings["tells_start"]:
            # Not started in the time that a free worker takes: load that is not seen is in its way.
            slack = job.target_at - now - job.mean * self.slowness(worker, now)
            part = 2 if self.settings["parallel"] else 3
            end = now + int(max(3 * (worker.start_lag or 0) + 4 * self.settings["step"], slack / part))
        self.set_timer(end, launch)
        return ("launch", job.id, worker.id, 0 if until is None else until - now)

    def check_launch(self, launch, now):
        """A launch past its estimated end: is its worker silent or slow, and may the job go elsewhere?"""
        worker, job = launch.worker, launch.job
        if launch.started_at and launch.curve_entry is not None and now < launch.curve_entry[0]:
            return
        slow, told = self.slowness(worker, now), self.settings["tells_start"]
        if launch.started_at and told:
            if (now - launch.started_at) / launch.mean > slow:
                self.learn_slowness(worker, (now - launch.started_at) / launch.mean, now)
        elif worker.heard_at < launch.sent_at:
            due = (
                self.start_lag.mean
                + 4 * self.start_lag.variation
                + (self.running_time.mean if told else launch.mean * slow)
            )
            if now - launch.sent_at > due:
                self.eject(worker, None, launch, now)
        # Ever rarer: on an overloaded fleet looking again and again at all that waits makes all late.
        again = max(job.variation, launch.mean / 2, (now - launch.sent_at) / 2, self.settings["step"])
        self.set_timer(now + int(again), launch)
        effect, parallel = job.queue_type["effect"], self.settings["parallel"]
        # No note when one was due, while others of that worker may go on: it is the connection that is dead.
        silent = launch.started_at and 0 < 5 * self.settings["progress_every"] < 4 * (now - launch.heard_at)
        waits = (
            effect == "restartable" and not (parallel or launch.started_at) and self.settings["may_revoke"]
        )
        late = now + job.mean * self.slowness(worker, now) > job.target_at
        if waits and late and self.pressure > job.queue_type["late_utility"]:
            # Under overload a start that comes too late takes the room of one in time, and so on for all.
            job.deadline = now
            self.pending.append(job)
            return
        if silent and effect == "run-once" and now - launch.heard_at > 2 * self.settings["progress_every"]:
            self.launch_silent(now, job.id, launch.number)
        if job.ended or launch.revoked or self.hedge_budget < 1 or job.in_flight > 1 or effect == "run-once":
            return
        stays = not parallel and (launch.started_at and not silent or not self.settings["may_revoke"])
        if stays or len(job.launches) + 2 > self.settings["launches"]:
            return
        best, wait = self.pick_worker(job, now, worker if effect == "deduplicated" else None)
        if best is None or wait > 0:
            return
        there = now + job.mean * self.slowness(best, now)
        if launch.started_at and not worker.ejections and not silent:
            # As long again as it has run: the best guess for a job that outran its estimate.
            # But a hint is often this wrong, and a copy of a job that is about to end is waste.
            latest = min(2 * now - launch.started_at, job.target_at)
            if now - launch.started_at < 2 * (job.mean + job.variation) or there > latest:
                return
        if effect == "deduplicated" and there > launch.sent_at + job.queue_type["window"]:
            return
        if parallel and effect == "restartable":
            job.wants_hedge = True
            self.pending.append(job)
        else:
            self.hedge_budget -= 1
            self.revocations.append(launch)
