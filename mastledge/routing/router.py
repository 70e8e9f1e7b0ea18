"""The task that owns the decisions: reports what came in, carries out what is decided, keeps their timers."""

import traceback

from mastledge.protocol.worker_connections import WorkerEndpoint
from mastledge.scheduling.decisions import FollowEndpoints, KillJob, LaunchJob, RejectJob, RevokeLaunch

AGAIN = 250_000  # after which who was turned away for want of rules may come again: elsewhere there are some


class Job:
    __slots__ = ("id", "exchange", "launches", "out", "began")

    def __init__(self, job_id, exchange, now):
        self.id, self.exchange, self.launches, self.out, self.began = job_id, exchange, [], 0, now


class Launch:
    """What a launch is to the host; the decisions name it by its job and its number among that job's."""

    __slots__ = (
        "job",
        "n",
        "peer",
        "task",
        "name",
        "sent",
        "at",
        "began",
        "ended",
        "conn",
        "headed",
        "send_by",
    )

    def __init__(self, job, peer, name, now):
        self.job, self.n, self.peer, self.name, self.at = job, len(job.launches), peer, name, now
        self.send_by = job.exchange.until
        self.task, self.sent, self.began, self.ended = None, False, None, False
        self.conn, self.headed = None, False


class Router:
    def __init__(self, loop, inbox, scheduler, workers, discovery, log):
        self.loop, self.inbox, self.scheduler = loop, inbox, scheduler
        self.workers, self.discovery, self.log = workers, discovery, log
        self.jobs, self.peers, self.count, self.faults = {}, {}, 0, 0
        self.out = frozenset()
        self.rule, self.listed = None, None  # where dispatchers agree: may it act, and who hears of lists
        self.totals = {"completed": 0, "rejected": 0, "killed": 0, "abandoned": 0, "handed_on": 0}

    def run(self):
        inbox = self.inbox
        while True:
            now = self.loop.now()
            while inbox.items:
                what, *fields = inbox.items.popleft()
                self.guarded(getattr(self, "on_" + what), now, *fields)
            self.guarded(self.pull, now)
            wake = self.scheduler.wake_at()
            yield from inbox.wait(None if wake is None else max(wake, now + 1))

    def guarded(self, call, *fields):
        """A fault over one job must not end the others; its client is answered when its time is over."""
        try:
            call(*fields)
        except Exception as error:
            self.faults += 1
            self.log(
                "internal_error",
                call=call.__name__,
                why=f"{type(error).__name__}: {error}",
                trace=traceback.format_exc(limit=-4),
            )

    # Inputs

    def on_members(self, now, kind, entries):
        told = []
        for wkr_id, address, zone, state, born, cls, cell, units in entries:
            peer = self.peers.get(wkr_id)
            if peer is None:
                peer = self.peers[wkr_id] = WorkerEndpoint(wkr_id, wkr_id in self.out)
            if state != "ready" or born > peer.born or (peer.address and address != peer.address):
                # Nothing new goes there, or its connections died with its former life.
                self.workers.hang_up(peer)
            peer.address, peer.born, peer.state = address, max(born, peer.born), state
            told.append((zone, peer, state, born, cls, cell, units))
        if kind in ("whole", "cached"):
            named = {entry[0] for entry in entries}
            for peer in self.peers.values():
                if peer.id not in named:
                    peer.state = "gone"
                    self.workers.hang_up(peer)
        self.scheduler.update_endpoints(now, kind, told)
        # Launches under way hold what they need of it.
        self.peers = {peer.id: peer for peer in self.peers.values() if peer.state != "gone"}
        if entries:
            brief = [(e[0], e[3], e[4] and (now - e[4]) / 1e6) for e in entries[:12]]
            generation = self.discovery.generation
            self.log("endpoint_list", kind=kind, generation=generation, count=len(entries), first=brief)
        if self.listed is not None:
            self.listed(kind, entries)

    def on_arrived(self, now, exchange, *fields):
        self.count += 1
        job = exchange.job = Job(self.count, exchange, now)
        self.jobs[job.id] = job
        self.scheduler.job_arrived(now, job.id, *fields)

    def on_abandoned(self, now, exchange):
        job = exchange.job
        if job is not None and job.id in self.jobs:
            self.closed(now, job, "abandoned")
            self.scheduler.job_abandoned(now, job.id)

    def on_left(self, now, exchange):
        """Nobody waits for its answer, unless somebody has joined since: nothing new is sent for it.

        What may be running goes on where its key is kept, as what it comes to is promised to who asks again.
        """
        job = exchange.job
        if job is None or job.id not in self.jobs or not exchange.open or not exchange.left():
            return
        if exchange.conn is not None:
            exchange.open = False
            self.on_abandoned(now, exchange)
            return
        self.withdraw(now, job)
        if exchange.open and not job.out:
            self.given_up(now, job)

    def on_started(self, now, launch):
        launch.began = now
        self.scheduler.launch_started(now, launch.job.id, launch.n)

    def on_silent(self, now, launch):
        self.scheduler.launch_silent(now, launch.job.id, launch.n)

    def on_progress(self, now, launch, share):
        self.scheduler.launch_progressed(now, launch.job.id, launch.n, share)

    def on_ended(self, now, launch, how, result, report):
        if launch.ended:
            return
        launch.ended = True
        job = launch.job
        job.out -= 1
        first = how == "completed" and job.exchange.open
        if first:
            job.exchange.completed(result)
        self.scheduler.launch_ended(
            now, job.id, launch.n, how, now - launch.at, not job.exchange.open, report
        )
        if first:
            self.closed(now, job, "completed")
        elif how != "completed":
            self.log(
                "launch_ended",
                job=launch.name,
                n=launch.n,
                worker=launch.peer.id,
                how=how,
                ms=(now - launch.at) / 1000,
            )
            if not job.out:
                self.on_left(now, job.exchange)
        self.forget(job)

    def on_by_hand(self, now, out, back, held):
        """Nothing new goes to who is out from here on, also what was decided and is not written yet."""
        if out != self.out:
            self.log("workers_excluded", out=sorted(out))
        self.out = out
        self.scheduler.set_excluded(now, out, back)
        for peer in self.peers.values():
            was, peer.out = peer.out, peer.id in out
            if peer.out and not was:
                self.workers.hang_up(peer)
        for job in self.jobs.values():
            for launch in job.launches:
                if launch.peer.id in out and not launch.sent:
                    self.do_revoke(now, job.id, launch.n)
        held()

    def on_lapsed(self, now):
        """What is in force is not known here any more: who waits for a worker is told to come again."""
        for job in list(self.jobs.values()):
            if not job.out and job.exchange.open:
                self.given_up(now, job)

    def given_up(self, now, job):
        self.carry_out(now, self.scheduler.reject_or_kill(self.scheduler.jobs[job.id], AGAIN))

    def on_inherited(self, now, told):
        self.scheduler.restore_learned(now, told)

    def on_sharing(self, now, share):
        self.scheduler.set_traffic_share(now, share)

    def on_configured(self, now, settings):
        self.scheduler.reconfigure(now, settings)

    def on_leaving(self, now, last):
        self.scheduler.shut_down_at(now, last)

    def on_over(self, now):
        """The program has to end: what is still open gets the answer that promises nothing."""
        for job in list(self.jobs.values()):
            if job.exchange.open:
                job.exchange.killed()
                self.scheduler.job_abandoned(now, job.id)
                self.closed(now, job, "killed")

    def handed_on(self, now, job, launch):
        """Another process goes on with it, and with its connections."""
        launch.ended, job.exchange.open = True, False
        job.out -= 1
        self.loop.cancel(launch.task)
        self.scheduler.job_abandoned(now, job.id)
        self.closed(now, job, "handed_on")

    # Decisions

    def pull(self, now):
        decide = self.scheduler.decide
        while (decision := decide(now)) is not None:
            self.carry_out(now, decision)

    def carry_out(self, now, decision):
        """Does what was decided; TypeError for what is no decision of a dispatcher without load messages."""
        kind = decision.__class__
        if kind is LaunchJob:
            self.do_launch(now, decision.job, decision.worker, decision.within)
        elif kind is RejectJob:
            self.do_reject(now, decision.job, decision.retry_after)
        elif kind is KillJob:
            self.do_kill(now, decision.job)
        elif kind is RevokeLaunch:
            self.do_revoke(now, decision.job, decision.number)
        elif kind is FollowEndpoints:
            self.do_follow(now, True)
        else:
            raise TypeError(f"no such decision: {decision}")

    def do_launch(self, now, job_id, peer, within):
        job = self.jobs[job_id]
        if self.rule is not None and not self.rule.may_act(now):
            # It was decided by rules that may no longer hold. Nothing of it is sent, as the decisions hear at
            # once.
            launch = Launch(job, peer, job.exchange.name, now)
            launch.ended = True
            job.launches.append(launch)
            self.scheduler.launch_ended(now, job_id, launch.n, "unsent", 0, False, ())
            if not job.out:
                self.given_up(now, job)
            return
        name = job.exchange.name
        launch = Launch(job, peer, name, now)
        job.launches.append(launch)
        job.out += 1
        launch.send_by = min(job.exchange.until, now + within) if within else job.exchange.until
        launch.task = self.loop.spawn(self.carried_out(launch, job.exchange.until))

    def carried_out(self, launch, until):
        try:
            yield from self.workers.launch(launch.peer, launch, launch.job.exchange, until)
        except Exception as error:
            # Whatever went wrong here, the decisions have to hear of one end of each launch.
            self.faults += 1
            self.log("internal_error", call="launch", why=f"{type(error).__name__}: {error}")
            self.inbox.put("ended", launch, "error" if launch.sent else "unsent", None, ())

    def do_reject(self, now, job_id, hold_off):
        job = self.jobs[job_id]
        job.exchange.rejected(hold_off)
        self.closed(now, job, "rejected")

    def do_kill(self, now, job_id):
        job = self.jobs[job_id]
        job.exchange.killed()
        self.closed(now, job, "killed")

    def do_revoke(self, now, job_id, n):
        launch = self.jobs[job_id].launches[n]
        if not launch.ended:
            self.loop.cancel(launch.task)
            # Without its last byte a worker does not begin it.
            self.inbox.put("ended", launch, "revoked" if launch.sent else "unsent", None, ())

    def withdraw(self, now, job):
        """Ends launches whose last byte has not gone out: it would go out behind the job's answer."""
        for launch in job.launches:
            if not launch.ended and not launch.sent:
                self.loop.cancel(launch.task)
                self.on_ended(now, launch, "unsent", None, ())

    def do_follow(self, now, on):
        self.discovery.follow()

    # Jobs

    def closed(self, now, job, how):
        self.totals[how] += 1
        last = job.launches[-1] if job.launches else None
        self.log(
            "job_finished",
            job=job.exchange.name,
            type=job.exchange.kind,
            how=how,
            ms=(now - job.began) / 1000,
            launches=len(job.launches),
            worker=last and last.peer.id,
            waited=last and last.began and (last.began - job.began) / 1000,
        )
        self.withdraw(now, job)
        self.forget(job)

    def forget(self, job):
        if not job.out and not job.exchange.open:
            self.jobs.pop(job.id, None)
