"""Runs many instances of the decisions on the bench's wire; they share nothing."""

import sys
import traceback

from mastledge.adapter import frames as wire
from mastledge.balance import Balancer
from mastledge.program.settings import SettingError, parse_pairs, parse_settings
from mastledge.protocol import load_messages

STATE = {0: "gone", 1: "ready", 2: "draining"}
LIST = {0: "changes", 1: "whole", 2: "cached", 3: "failed"}
ENDING = {
    200: "completed",
    500: "error",
    503: "full",
    504: "timeout",
    502: "unreachable",
    598: "lost",
    499: "revoked",
    410: "unsent",
}


def ending(at, code):
    if code not in ENDING:
        raise wire.BadFrame(f"record {at}: unknown ending {code}")
    return ENDING[code]


def span(at, what, ms):
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
            settings = parse_settings(parse_pairs(raw.decode()))
        except UnicodeDecodeError as error:
            raise SettingError(f"settings are not text: {error}") from None
        self.timers[instance] = None
        self.instances[instance] = Balancer(settings, seed, now)

    def members(self, now, at, balancer, fields):
        _, kind, _, pool = fields
        if kind not in LIST:
            raise wire.BadFrame(f"record {at}: unknown list kind {kind}")
        if LIST[kind] == "failed":
            balancer.members(now, "failed", ())
        elif pool not in self.pools:
            raise wire.BadFrame(f"record {at}: list {pool} was never given")
        else:
            balancer.members(now, LIST[kind], self.pools[pool])

    def pool(self, at, body, count, fields):
        number, offset, size = fields
        rows = []
        for zone, wkr, state, born, kind, cell, units in wire.entries(
            wire.tail_part(body, count, at, offset, size * wire.ENTRY.size, "list entries")
        ):
            if state not in STATE:
                raise wire.BadFrame(f"record {at}: unknown worker state {state}")
            rows.append((zone, wkr, STATE[state], span(at, "start time", born), kind, cell, units))
        self.pools[number] = rows

    def event(self, now, at, code, fields, balancer):
        if code == wire.NOTE:
            _, job, launch, value, topic, _ = fields
            if topic == 1:
                balancer.started(now, job, launch)
            elif topic == 2:
                balancer.progress(now, job, launch, value)
        elif code == wire.END:
            (_, job, _, lag, launch, _, final, how, n, *report) = fields
            balancer.ended(now, job, launch, ending(at, how), span(at, "lag", lag), final != 0, report[:n])
        elif code == wire.NEW:
            _, job, hint, key, qtype, bits, width, tenant, patience, memory = fields
            if qtype >= len(balancer.queue_types):
                raise wire.BadFrame(f"record {at}: unknown queue type {qtype}")
            balancer.arrived(
                now,
                job,
                qtype,
                span(at, "hint", hint) if bits & 1 else 0,
                key,
                width or 1.0,
                memory,
                tenant,
                span(at, "patience", patience),
            )
        elif code == wire.DUE:
            if self.timers.get(fields[0]) is not None and self.timers[fields[0]] <= now:
                self.timers[fields[0]] = None
        elif code == wire.MEMBERSHIP:
            self.members(now, at, balancer, fields)
        elif code == wire.ABANDONED:
            balancer.abandoned(now, fields[1])

    def pull(self, now, instance, balancer):
        """Every decision of one instance, then its next waking."""
        add, decide = self.records.append, balancer.decide
        while (decision := decide(now)) is not None:
            what = decision[0]
            if what == "launch":
                # Sent at once there, so in the time by which it has to be; 0: no time-out of its own.
                add(wire.PASS_ON(1, instance, decision[1], decision[2], 0))
            elif what == "reject":
                add(wire.BOUNCE(2, instance, decision[1], decision[2] / 1000))
            elif what == "kill":
                add(wire.GIVE_UP(3, instance, decision[1]))
            elif what == "revoke":
                add(wire.REVOKE(4, instance, decision[1], decision[2]))
            elif what == "follow":
                add(wire.TRACK(11, instance, 1))
            elif what == "message":
                content = load_messages.encoded(*decision[1:])
                add(wire.MEMO_TO(8, instance, wire.ALL, len(self.tail), len(content)))
                self.tail += content
            else:
                raise RuntimeError(f"no such decision: {what}")
        wake, timer = balancer.wake_at(), self.timers[instance]
        if wake is not None and (timer is None or wake < timer):
            self.timers[instance] = wake = max(wake, now + 1)
            add(wire.NOTIFY_ME(5, instance, wake // 1000, wake / 1000))

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
                            instances[instance].message(now, fields[1], *told)
                    else:
                        self.event(now, at, code, fields, instances[instance])
                    touched[instance] = True
            except (wire.BadFrame, SettingError):
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
    except (wire.BadFrame, SettingError) as error:
        print(f"mastledge.adapter: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
