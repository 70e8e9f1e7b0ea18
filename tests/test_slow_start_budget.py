"""Work that all dispatchers together send to restarted workers, in simulated time.

The rule: in no window of `fall_for` more than N + 2 * sqrt(N) + 2 jobs of mean work, N being the limit that
the settings give for a worker at its minimum warmth.
"""

from collections import defaultdict, deque
from heapq import heappop, heappush
from random import Random

import pytest
from helpers import entry, queue_type, scheduler

from mastledge.scheduling.decisions import LaunchJob, RevokeLaunch
from mastledge.scheduling.slow_start import SlowStart

MEAN, SLOTS = 300_000, 4
SPREAD, ERROR = 1.4, 0.7  # standard deviation of the logarithm of work, and of the hint error
SETTINGS = {
    "cold_from": 0.3,
    "cold_for": 6_000_000,
    "fall_for": 1_000_000,
    "fall_multiple": 3.0,
    "cpu_a_second": 8000.0,
    "cpu_a_job": 10.0,
}
FALL, END = 5_000_000, 9_000_000


class Job:
    def __init__(self, id_, number, dispatcher, work):
        self.id, self.dispatcher_number, self.dispatcher, self.work = id_, number, dispatcher, work


class World:
    """A simulated fleet; `anew`: how many of ten dispatchers restart, without learned state."""

    def __init__(self, dispatchers, workers, even, load, anew=0, joining=False, seed=3):
        self.random, self.now, self.events, self.count = Random(seed), 0, [], 0
        self.joining, self.cold = joining, {}
        self.born = dict.fromkeys(range(workers), 0)
        self.queue, self.running = defaultdict(deque), defaultdict(int)
        self.sent, self.wakes = defaultdict(list), {}
        self.schedulers = [self.new_scheduler(n, dispatchers) for n in range(dispatchers)]
        weights = [1.0 if even else self.random.paretovariate(1.1) for _ in self.schedulers]
        rate = load * workers * SLOTS / MEAN
        for n, weight in enumerate(weights):
            self.arrive(n, rate * weight / sum(weights), False)
        self.at(FALL, self.restart_workers, workers // 2)
        self.at(FALL + 10_000, self.restart_dispatchers, anew * dispatchers // 10, dispatchers)
        while self.events and self.events[0][0] < END:
            self.now, _, call, fields = heappop(self.events)
            call(*fields)

    def at(self, when, call, *fields):
        self.count += 1
        heappush(self.events, (when, self.count, call, fields))

    def new_scheduler(self, n, dispatchers):
        dispatcher = scheduler(
            [queue_type(target=2 * MEAN)], 0, n + 1, me=n, dispatchers=dispatchers, **SETTINGS
        )
        dispatcher.update_endpoints(
            self.now, "whole", [entry(w, born=born, zone=0) for w, born in self.born.items()]
        )
        return dispatcher

    def arrive(self, n, rate, has_job=True):
        self.at(self.now + int(self.random.expovariate(rate)) + 1, self.arrive, n, rate)
        if has_job:
            work = int(MEAN * self.random.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)) + 1000
            self.count += 1
            job = Job(self.count, n, self.schedulers[n], work)
            hint = int(work * self.random.lognormvariate(0, ERROR))
            job.dispatcher.job_arrived(self.now, job, 0, hint, 0, 1.0, 0.0, 0, 5_000_000)
            self.pull(n)

    def restart_workers(self, count):
        """Restart workers, or replace them by new ones, all at once; all dispatchers get the new list."""
        gone = self.random.sample(sorted(self.born), count)
        new = [w + 10_000 for w in gone] if self.joining else gone
        for w in gone:
            del self.born[w]
            self.queue[w].clear()
        self.cold = dict.fromkeys(new, self.now)
        self.born |= self.cold
        self.running |= dict.fromkeys(new, 0)
        for dispatcher in self.schedulers:
            dispatcher.update_endpoints(
                self.now,
                "changes",
                [entry(w, "gone", zone=0) for w in gone if self.joining]
                + [entry(w, born=self.now, zone=0) for w in new],
            )

    def restart_dispatchers(self, count, dispatchers):
        for n in self.random.sample(range(dispatchers), count):
            self.schedulers[n] = self.new_scheduler(n, dispatchers)

    def pull(self, n):
        dispatcher = self.schedulers[n]
        while (decision := dispatcher.decide(self.now)) is not None:
            job = decision.job
            if isinstance(decision, LaunchJob):
                worker = decision.worker
                if worker in self.cold:
                    self.sent[worker].append((self.now, job.work))
                n = dispatcher.jobs[job].launches[-1].number
                self.at(self.now + 300, self.deliver, job, n, worker, self.born.get(worker), self.now)
            elif isinstance(decision, RevokeLaunch):
                self.at(self.now, self.ended, job, decision.number, "unsent", 0)
        wake = dispatcher.wake_at()
        if wake is not None and wake < self.wakes.get(n, END):
            self.wakes[n] = max(wake, self.now + 1)
            self.at(self.wakes[n], self.wake, n)

    def wake(self, n):
        self.wakes.pop(n, None)
        self.pull(n)

    def ended(self, job, n, outcome, lag):
        job.dispatcher.launch_ended(self.now, job, n, outcome, lag, outcome == "completed", ())
        if self.schedulers[job.dispatcher_number] is job.dispatcher:
            self.pull(job.dispatcher_number)

    def deliver(self, job, n, w, born, sent):
        if born is None or self.born.get(w) != born:
            self.ended(job, n, "lost", 0)
            return
        self.queue[w].append((job, n, born, sent))
        self.start_queued(w)

    def warmth(self, w, now):
        coldest, age = SETTINGS["cold_from"], now - self.born[w]
        return min(1.0, coldest + (1 - coldest) * age / SETTINGS["cold_for"]) if self.born[w] else 1.0

    def start_queued(self, w):
        while self.queue[w] and self.running[w] < SLOTS:
            job, n, born, sent = self.queue[w].popleft()
            self.running[w] += 1
            job.dispatcher.launch_started(self.now, job, n)
            self.at(self.now + int(job.work / self.warmth(w, self.now)), self.end, job, n, w, born, sent)

    def end(self, job, n, w, born, sent):
        if self.born.get(w) != born:
            self.ended(job, n, "lost", 0)
            return
        self.running[w] -= 1
        self.ended(job, n, "completed", self.now - sent)
        self.start_queued(w)

    def allowed(self, w, at):
        return SETTINGS["fall_multiple"] * self.warmth(w, at) * SLOTS * SETTINGS["fall_for"] / MEAN

    def worst_window(self):
        """Return the work of the fullest window of any cold worker, relative to its limit."""
        return max(max(self.window_loads(w), default=0.0) for w in self.cold)

    def window_loads(self, w):
        span, sent, first, work = SETTINGS["fall_for"], self.sent[w], 0, 0
        for at, job_work in sent:
            work += job_work
            while sent[first][0] <= at - span:
                work -= sent[first][1]
                first += 1
            allowed = self.allowed(w, max(self.cold[w], at - span))
            yield work / MEAN / (allowed + 2 * allowed**0.5 + 2)

    def used_budget(self):
        """Return the work sent to all cold workers as a share of their budgets."""
        step = SETTINGS["fall_for"] // 10
        allowed = sum(self.allowed(w, at) / 10 for w in self.cold for at in range(FALL, END, step))
        return sum(work for w in self.cold for _, work in self.sent[w]) / MEAN / allowed


@pytest.mark.parametrize(
    ("dispatchers", "workers", "even", "load", "anew", "joining"),
    [
        (20, 14, True, 0.6, 0, False),
        (20, 14, False, 0.9, 0, False),
        (20, 14, False, 0.8, 7, True),
        (30, 40, True, 0.9, 0, True),
        (30, 40, False, 0.9, 0, False),
        (30, 40, True, 0.8, 7, False),
        (230, 40, True, 0.8, 0, True),
        (230, 40, False, 0.9, 0, False),
        (230, 40, False, 0.8, 7, False),
    ],
)
def test_all_dispatchers_together_keep_cold_workers_under_their_limit(
    dispatchers, workers, even, load, anew, joining
):
    world = World(dispatchers, workers, even, load, anew, joining)
    assert world.worst_window() <= 1.0
    assert world.used_budget() > 0.01  # cold workers are not just left out


def test_scheduler_without_budget_exceeds_the_limit(monkeypatch):
    monkeypatch.setattr(SlowStart, "within_budget", lambda self, worker, job, now: True)
    assert World(30, 40, True, 0.9).worst_window() > 1.0
