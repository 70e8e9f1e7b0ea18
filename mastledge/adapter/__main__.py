"""Runs many instances of the decisions on the bench's wire; they share nothing."""

import sys
import traceback

from mastledge.adapter import frames as wire
from mastledge.program.settings import BadSetting, pairs_of, plain_map
from mastledge.protocol import load_messages
from mastledge.scheduling.decisions import (
    FollowEndpoints,
    KillJob,
    LaunchJob,
    RejectJob,
    RevokeLaunch,
    SendLoadMessage,
)
from mastledge.scheduling.fleet_view import ListKind
from mastledge.scheduling.outcomes import Outcome
from mastledge.scheduling.scheduler import Scheduler

WORKER_STATES = {0: "gone", 1: "ready", 2: "draining"}
LIST_KINDS = {0: ListKind.CHANGES, 1: ListKind.WHOLE, 2: ListKind.CACHED, 3: ListKind.FAILED}
OUTCOMES = {
    200: Outcome.COMPLETED,
    500: Outcome.ERROR,
    503: Outcome.FULL,
    504: Outcome.TIMEOUT,
    502: Outcome.UNREACHABLE,
    598: Outcome.LOST,
    499: Outcome.REVOKED,
    410: Outcome.UNSENT,
}


def outcome_of(at: int, code: int) -> Outcome:
    """The outcome with this status code; BadFrame for an unknown one."""
    if code not in OUTCOMES:
        raise wire.BadFrame(f"record {at}: unknown ending {code}")
    return OUTCOMES[code]


def microseconds(at: int, what: str, ms: float) -> int:
    """A span of milliseconds in whole microseconds; BadFrame for what is none."""
    if not -1e12 < ms < 1e12:
        raise wire.BadFrame(f"record {at}: {what} {ms} is no time")
    return round(ms * 1000)


class Host:
    def __init__(self):
        self.instances = {}
        self.timers = {}
        self.pools = {}
        self.records = []
        self.tail = bytearray()

    def text(self, code, instance, words):
        raw = words.encode()
        self.records.append(wire.TEXT(code, instance, len(self.tail), len(raw)))
        self.tail += raw

    def power_on(self, now, at, body, count, fields):
        instance, seed, offset, size = fields
        raw = bytes(wire.tail_part(body, count, at, offset, size, "settings"))
        try:
            settings = plain_map(pairs_of(raw.decode()))
        except UnicodeDecodeError as error:
            raise BadSetting(f"settings are not text: {error}") from None
        self.timers[instance] = None
        self.instances[instance] = Scheduler(settings, seed, now)

    def members(self, now, at, scheduler, fields):
        _, kind, _, pool = fields
        if kind not in LIST_KINDS:
            raise wire.BadFrame(f"record {at}: unknown list kind {kind}")
        if LIST_KINDS[kind] == ListKind.FAILED:
            scheduler.update_endpoints(now, ListKind.FAILED, ())
        elif pool not in self.pools:
            raise wire.BadFrame(f"record {at}: list {pool} was never given")
        else:
            scheduler.update_endpoints(now, LIST_KINDS[kind], self.pools[pool])

    def pool(self, at, body, count, fields):
        number, offset, size = fields
        rows = []
        for zone, wkr, state, born, kind, cell, units in wire.entries(
            wire.tail_part(body, count, at, offset, size * wire.ENTRY.size, "list entries")
        ):
            if state not in WORKER_STATES:
                raise wire.BadFrame(f"record {at}: unknown worker state {state}")
            rows.append(
                (zone, wkr, WORKER_STATES[state], microseconds(at, "start time", born), kind, cell, units)
            )
        self.pools[number] = rows

    def event(self, now, at, code, fields, scheduler):
        if code == wire.NOTE:
            _, job, launch, value, topic, _ = fields
            if topic == 1:
                scheduler.launch_started(now, job, launch)
            elif topic == 2:
                scheduler.launch_progressed(now, job, launch, value)
        elif code == wire.END:
            (_, job, _, lag, launch, _, final, status, n, *report) = fields
            scheduler.launch_ended(
                now, job, launch, outcome_of(at, status), microseconds(at, "lag", lag), final != 0, report[:n]
            )
        elif code == wire.NEW:
            _, job, hint, key, qtype, bits, width, tenant, patience, memory = fields
            if qtype >= len(scheduler.queue_types):
                raise wire.BadFrame(f"record {at}: unknown queue type {qtype}")
            scheduler.job_arrived(
                now,
                job,
                qtype,
                microseconds(at, "hint", hint) if bits & 1 else 0,
                key,
                width or 1.0,
                memory,
                tenant,
                microseconds(at, "patience", patience),
            )
        elif code == wire.DUE:
            if self.timers.get(fields[0]) is not None and self.timers[fields[0]] <= now:
                self.timers[fields[0]] = None
        elif code == wire.MEMBERSHIP:
            self.members(now, at, scheduler, fields)
        elif code == wire.ABANDONED:
            scheduler.job_abandoned(now, fields[1])

    def pull(self, now, instance, scheduler):
        """Every decision of one instance, then its next waking."""
        decide = scheduler.decide
        while (decision := decide(now)) is not None:
            self.records.append(self.record_of(instance, decision))
        wake, timer = scheduler.wake_at(), self.timers[instance]
        if wake is not None and (timer is None or wake < timer):
            self.timers[instance] = wake = max(wake, now + 1)
            self.records.append(wire.NOTIFY_ME(5, instance, wake // 1000, wake / 1000))

    def record_of(self, instance, decision):
        """The decision as a record of the reply."""
        match decision:
            case LaunchJob(job, worker, _):
                # Sent at once there, so in the time by which it has to be; 0: no time-out of its own.
                return wire.PASS_ON(1, instance, job, worker, 0)
            case RejectJob(job, retry_after):
                return wire.BOUNCE(2, instance, job, retry_after / 1000)
            case KillJob(job):
                return wire.GIVE_UP(3, instance, job)
            case RevokeLaunch(job, number):
                return wire.REVOKE(4, instance, job, number)
            case FollowEndpoints():
                return wire.TRACK(11, instance, 1)
            case SendLoadMessage(told_at, loads, wants):
                content = load_messages.encoded(told_at, loads, wants)
                record = wire.MEMO_TO(8, instance, wire.ALL, len(self.tail), len(content))
                self.tail += content
                return record
        raise TypeError(f"no such decision: {decision}")

    def turn(self, now, body, count):
        self.records, self.tail = [], bytearray()
        touched, instances = {}, self.instances
        for at, code, fields in wire.events(body, count):
            instance = fields[0]
            try:
                if code == wire.POOL:
                    self.pool(at, body, count, fields)
                    continue
                if code == wire.POWER_ON:
                    self.power_on(now, at, body, count, fields)
                    touched[instance] = True
                elif code == wire.TEARDOWN:
                    instances.pop(instance, None)
                    self.timers.pop(instance, None)
                    touched.pop(instance, None)
                elif instance in instances:
                    if code == wire.INBOX:
                        content = bytes(wire.tail_part(body, count, at, fields[2], fields[3], "message"))
                        told = load_messages.decoded(content)
                        if told is not None:
                            instances[instance].load_message_received(now, fields[1], *told)
                    else:
                        self.event(now, at, code, fields, instances[instance])
                    touched[instance] = True
            except (wire.BadFrame, BadSetting):
                raise
            except Exception as error:
                self.fault(instance, error)
        for instance in touched:
            try:
                self.pull(now, instance, instances[instance])
            except Exception as error:
                self.fault(instance, error)
        return wire.reply(self.records, bytes(self.tail))

    def fault(self, instance, error):
        traceback.print_exc(file=sys.stderr)
        self.text(wire.FATAL, instance, f"{type(error).__name__}: {error}")


def main():
    stdin, stdout, host = sys.stdin.buffer, sys.stdout.buffer, Host()
    try:
        while (frame := wire.frame_from(stdin)) is not None:
            stdout.write(host.turn(*frame))
            stdout.flush()
    except (wire.BadFrame, BadSetting) as error:
        print(f"mastledge.adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
