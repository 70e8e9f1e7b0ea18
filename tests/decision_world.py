"""Seeded simulated worlds of dispatchers and workers, set up by decision_scripts.py; values are arbitrary.

A world is a loop: decisions launch jobs on simulated workers, whose notes and ends are the next inputs.
Random numbers are a CRC-32 of the seed and a counter, so a world is the same on every machine.
"""

import json
from heapq import heappop, heappush
from zlib import crc32

from decision_players import MS, PROGRAM, STEP, DirectPlayer, WirePlayer, changed_learned, plain_learned


class Worker:
    """A simulated worker: slots, a queue, a speed, and temporary faults."""

    def __init__(self, name, zone, machine, cell, units, slots, pace):
        self.name, self.zone, self.machine, self.cell, self.units = name, zone, machine, cell, units
        self.slots, self.pace, self.state, self.born = slots, pace, "ready", 0
        self.running, self.queue, self.fault, self.fault_until = 0, [], None, 0

    def entry(self):
        return (self.zone, self.name, self.state, self.born, self.machine, self.cell, self.units)


class World:
    def __init__(self, script):
        self.script, self.draws, self.now = script, 0, 0
        self.player = WirePlayer() if script["wire"] else DirectPlayer()
        self.events, self.event_count, self.job_count = [], 0, 0
        self.outputs, self.open, self.text = [], {}, {}
        self.workers = [self.new_worker(n) for n in range(script["workers"])]
        self.dispatchers = range(1, script["dispatchers"] + 1)

    def chance(self):
        self.draws += 1
        return crc32(b"%d/%d" % (self.script["seed"], self.draws)) / 4294967296.0

    def below(self, n):
        return int(self.chance() * n)

    def choose(self, choices):
        return choices[self.below(len(choices))]

    def new_worker(self, n):
        pace = 0.7 + 0.6 * self.chance()
        slots = 2 + self.below(self.script.get("most_slots", 5))
        name = b"w%05d" % n
        return Worker(name, n % 3, n % 2, n % 4, 1.0 + n % 2, slots, pace)

    def later(self, delay, callback, *args):
        self.at(self.now + max(1, int(delay)), callback, *args)

    def at(self, when, callback, *args):
        self.event_count += 1
        heappush(self.events, (when, self.event_count, callback, args))

    # Running a script

    def play(self):
        """Run the script; return all outputs in order, each as JSON."""
        script = self.script
        for number in self.dispatchers:
            self.later(1, self.power_on, number)
            self.later(number * MS, self.arrival, number, number * MS)
        for after, what, *given in script["course"]:
            self.later(after * MS, getattr(self, what), *given)
        if script.get("trouble_every"):
            self.later(script["trouble_every"] * MS, self.start_random_fault)
        while self.now < script["length"] * MS:
            self.step()
        for number in self.dispatchers:
            dispatcher = self.player.instance(number)
            if dispatcher is not None:
                self.record("learned", number, plain_learned(PROGRAM["learned"](dispatcher)))
        return self.outputs

    def record(self, kind, *values):
        self.outputs.append(json.dumps([kind, *values]))

    def step(self):
        self.now += STEP
        touched = {}
        while self.events and self.events[0][0] <= self.now:
            _, _, callback, args = heappop(self.events)
            touched[callback(*args)] = True
        for number in self.dispatchers:
            dispatcher = self.player.instance(number)
            wake = dispatcher and PROGRAM["wake at"](dispatcher) if number not in touched else None
            if wake is not None and wake <= self.now:
                self.player.due(number)
                touched[number] = True
        if not any(number is not None for number in touched):
            return
        for decision in self.player.turn(self.now):
            self.record(self.now, *decision)
            self.carry_out(*decision)
        for number in touched:
            dispatcher = self.player.instance(number) if number is not None else None
            if dispatcher is not None:
                self.record(
                    "wake",
                    self.now,
                    number,
                    PROGRAM["wake at"](dispatcher),
                    PROGRAM["skipped"](dispatcher, self.now),
                )

    def carry_out(self, kind, number, *values):
        if kind == "launch":
            job = self.open[number, values[0]]
            self.launched(number, job, next(w for w in self.workers if w.name.decode() == values[1]))
        elif kind == "revoke":
            self.later(STEP, self.revoked, number, self.open[number, values[0]]["launches"][values[1]])
        elif kind == "follow":
            self.later(10 * MS, self.answer_list, number)
        elif kind == "message":
            content = bytes.fromhex(values[0]) if self.script["wire"] else values
            for other in self.dispatchers:
                # The dispatcher's own message too, and some late ones: both have to be ignored.
                self.later(
                    STEP * (1 + 40 * (self.chance() < 0.1)), self.deliver_message, other, number, content
                )

    def power_on(self, number, text=None):
        text = text or self.settings(number, self.script["settings"])
        self.text[number] = text
        self.player.power_on(self.now, number, self.script["seed"] * 100 + number, text)
        if self.script.get("cached"):
            self.player.members(self.now, number, "cached", self.entries()[::2])
        if self.script["settings"]["discovery"] == "pushed":
            self.later(20 * MS, self.answer_list, number)
        return number

    def settings(self, number, pairs):
        lines = {"me": number, "balancers": self.script["dispatchers"], **pairs}
        return "".join(f"{path}={value}\n" for path, value in lines.items())

    def entries(self):
        return [w.entry() for w in self.workers]

    def answer_list(self, number):
        if self.chance() < self.script.get("list_fails", 0.0):
            self.player.members(self.now, number, "failed", ())
        else:
            self.player.members(self.now, number, "whole", self.entries())
        return number

    def deliver_message(self, number, sender, content):
        self.player.message(self.now, number, sender, content)
        return number

    # Jobs

    def load_now(self):
        return [load for since, load in self.script["loads"] if since * MS <= self.now][-1]

    def arrival(self, number, due):
        # Several jobs may arrive in one step.
        following = due + 1 + int(2 * self.chance() * MS / self.load_now())
        self.at(following, self.arrival, number, following)
        if self.player.instance(number) is None:
            return None
        self.job_count += 1
        script = self.script
        queue_type = self.below(script["queue_types"])
        key = 1 + int(self.chance() ** 2 * script["keys"]) if self.chance() < script.get("keyed", 0) else 0
        size = (20 + 160 * self.chance()) * (1 + key % 3) * MS
        hint = int(size * (0.5 + self.chance())) if self.chance() < script.get("hinted", 0) else 0
        width = 0.5 * (1 + self.below(4)) if self.chance() < 0.3 else 1.0
        memory = 0.25 * self.below(6)
        patience = self.choose(script.get("patiences", [1500, 4000])) * MS
        tenant = self.below(script.get("tenants", 1) + 1)
        job = {"id": self.job_count, "size": size, "type": queue_type, "key": key, "launches": []}
        self.open[number, self.job_count] = job
        self.player.arrived(
            self.now, number, self.job_count, queue_type, hint, key, width, memory, tenant, patience
        )
        if self.chance() < 0.02:
            self.later(300 * self.chance() * MS, self.abandon, number, self.job_count)
        return number

    def abandon(self, number, job):
        self.player.abandoned(self.now, number, job)
        return number

    def launched(self, number, job, worker):
        launch = {"dispatcher": number, "job": job, "worker": worker, "at": "way", "n": len(job["launches"])}
        launch["sent"] = self.now
        job["launches"].append(launch)
        self.later((1 + 2 * self.chance()) * MS, self.receive, launch)

    def receive(self, launch):
        worker = launch["worker"]
        if launch["at"] != "way":
            return None
        fault = worker.fault if self.now < worker.fault_until else None
        if worker.state == "gone":
            return self.end(launch, "unreachable")
        if fault == "mute":
            launch["at"] = "mute"
            self.later(self.script.get("mute_for", 2500) * MS, self.end, launch, "timeout")
            if self.script.get("tells_silent"):
                self.later(300 * MS, self.silent, launch)
            return None
        if fault == "failing type" and launch["job"]["type"] == 0:
            return self.end(launch, "error")
        if fault is not None and fault != "failing type" and self.chance() < 0.9:
            return self.end(launch, fault)
        if len(worker.queue) >= self.script.get("queue", 6):
            return self.end(launch, "doubted" if self.draw_direct_only(0.2) else "full")
        if worker.running >= worker.slots:
            launch["at"] = "queue"
            worker.queue.append(launch)
            return None
        return self.start(launch)

    def draw_direct_only(self, share):
        """Draw an outcome that the wire cannot carry, in scripts with direct calls only."""
        return not self.script["wire"] and self.chance() < share

    def start(self, launch):
        worker, job = launch["worker"], launch["job"]
        launch["at"] = "running"
        worker.running += 1
        run = job["size"] * worker.pace * (0.8 + 0.4 * self.chance())
        if self.chance() < 0.03:
            run *= 12
        outcome = "completed"
        if self.chance() < self.script.get("ends_badly", 0.02):
            outcome = self.choose(
                ["error", "timeout", "lost", "unsent", "dropped" if self.draw_direct_only(1.0) else "lost"]
            )
            run *= self.chance()
        self.later(run, self.end, launch, outcome)
        every = self.script.get("progress_every")
        if every and self.chance() < 0.8:
            self.later(every * MS, self.report_progress, launch, every)
        if not self.script.get("tells_start"):
            return None
        self.player.started(self.now, launch["dispatcher"], job["id"], launch["n"])
        if self.chance() < 0.02:
            # The note comes twice, and another one for an unknown launch.
            self.player.started(self.now, launch["dispatcher"], job["id"], launch["n"])
            self.player.started(self.now, launch["dispatcher"], job["id"], 9)
        return launch["dispatcher"]

    def report_progress(self, launch, every):
        if launch["at"] != "running":
            return None
        self.later(every * MS, self.report_progress, launch, every)
        self.player.progress(self.now, launch["dispatcher"], launch["job"]["id"], launch["n"], 0.5)
        return launch["dispatcher"]

    def silent(self, launch):
        dispatcher = self.player.instance(launch["dispatcher"])
        if launch["at"] == "over" or dispatcher is None:
            return None
        PROGRAM["silent"](dispatcher, self.now, launch["job"]["id"], launch["n"])
        self.player.due(launch["dispatcher"])
        return launch["dispatcher"]

    def revoked(self, number, launch):
        return self.end(launch, "revoked")

    def end(self, launch, outcome):
        if launch["at"] == "over":
            return None
        worker, job, number = launch["worker"], launch["job"], launch["dispatcher"]
        if launch["at"] == "running":
            worker.running -= 1
            if worker.queue:
                self.later(1, self.start_next, worker)
        elif launch["at"] == "queue":
            worker.queue.remove(launch)
        launch["at"] = "over"
        final = outcome == "completed" or outcome == "error" and self.chance() < 0.3
        report = []
        if self.script.get("reports") and outcome != "unreachable":
            free = max(0, worker.slots - worker.running)
            report = [float(free), float(len(worker.queue))]
            if self.chance() < 0.01:
                report = [-5.0, 1e9]
        lag = self.now - launch["sent"] - (40 * MS if self.chance() < 0.01 else 0)
        # Some ends are reported twice; the second report has to be ignored.
        for _ in range(1 + (self.chance() < 0.01)):
            self.player.ended(self.now, number, job["id"], launch["n"], outcome, max(0, lag), final, report)
        return number

    def start_next(self, worker):
        if worker.queue and worker.running < worker.slots:
            return self.start(worker.queue.pop(0))
        return None

    # Faults and changes

    def start_random_fault(self):
        """Give a random worker one of the script's faults for a while."""
        self.later(2 * self.chance() * self.script["trouble_every"] * MS, self.start_random_fault)
        worker = self.choose(self.workers)
        worker.fault = self.choose(self.script["troubles"])
        worker.fault_until = self.now + int((0.2 + self.chance()) * self.script.get("trouble_for", 600) * MS)

    def cut(self, share, fault, duration):
        """Give a part of the fleet a fault, like a zone that is cut off."""
        for worker in self.workers[: int(share * len(self.workers))]:
            worker.fault, worker.fault_until = fault, self.now + duration * MS

    def slowed(self, factor):
        """Multiply the running times on all workers, as with a slow shared store."""
        for worker in self.workers:
            worker.pace *= factor

    def listed(self, kind, first, last, state, restarted=False):
        """Change the state of workers, or restart them, and send all dispatchers the list."""
        for worker in self.workers[first:last]:
            worker.state = state
            if restarted:
                worker.born = self.now
        entries = [w.entry() for w in self.workers[first:last]] if kind == "changes" else self.entries()
        for number in self.dispatchers:
            self.player.members(self.now, number, kind, entries)
        return self.wake_all()

    def shortened(self, count):
        """Send all dispatchers a whole list without the last workers."""
        for worker in self.workers[-count:]:
            worker.state = "gone"
        for number in self.dispatchers:
            self.player.members(self.now, number, "whole", self.entries()[:-count])
        return self.wake_all()

    def grown(self, count):
        """Add new workers that are not warm yet."""
        first = len(self.workers)
        self.workers += [self.new_worker(first + n) for n in range(count)]
        return self.listed("changes", first, first + count, "ready", True)

    def stopped(self, number):
        """Stop a dispatcher for good."""
        self.player.teardown(number)

    def list_breaks(self):
        for number in self.dispatchers:
            self.player.members(self.now, number, "failed", ())
        return self.wake_all()

    def wake_all(self):
        for number in self.dispatchers[1:]:
            self.later(1, self.wake, number)
        return 1

    def wake(self, number):
        if self.player.instance(number) is None:
            return None
        self.player.due(number)
        return number

    def call(self, what, number, *given):
        """Make a call that the wire cannot carry."""
        PROGRAM[what](self.player.instance(number), self.now, *given)
        self.player.due(number)
        return number

    def by_hand(self, number, out, back):
        born = self.now - 100 * MS
        names = [str(w.name) for w in self.workers]
        return self.call("by hand", number, {names[n] for n in out}, {names[n]: born for n in back})

    def leaving(self, number, within):
        return self.call("leaving", number, self.now + within * MS)

    def configured(self, number, pairs):
        text = self.settings(number, {**self.script["settings"], **pairs})
        return self.call("configured", number, PROGRAM["read settings"](text))

    def taken_over(self, number):
        """Replace a dispatcher by a new process with its learned state but without its launches."""
        learned = changed_learned(PROGRAM["learned"](self.player.instance(number)))
        self.player.teardown(number)
        self.power_on(number)
        self.player.members(self.now, number, "whole", self.entries())
        self.later(STEP, self.inherit, number, learned)
        return number

    def inherit(self, number, learned):
        return self.call("inherited", number, learned)
