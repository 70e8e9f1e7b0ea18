"""Open-loop clients: when each job comes is drawn ahead from the seed, so that a slow answer doesn't thin
out the load.
"""

import asyncio
import time
from collections import deque

import h11
import numpy

from mastledge.lab.wire import address, body, event, now


class Front:
    """Deals clients out among the dispatchers that say yes, asking each ten times a second."""

    def __init__(self, harness):
        self.harness, self.ready, self.idle = harness, {}, {}

    async def look(self):
        from mastledge.lab.wire import call

        async def one(name):
            # Which address is asked may change while it is asked: an upgrade keeps it, a new member brings
            # its own.
            status, _, _ = await call(self.harness.nodes[name].listen, "GET", "/health/ready", seconds=0.5)
            if self.ready.get(name) != (status == 200):
                self.harness.note("ready", who=name, yes=status == 200)
            self.ready[name] = status == 200

        while True:
            await asyncio.gather(*(one(name) for name in list(self.harness.nodes)))
            await asyncio.sleep(0.1)

    def pick(self, random):
        up = [name for name, yes in sorted(self.ready.items()) if yes] or sorted(self.harness.nodes)
        return up[int(random.integers(len(up)))]


STEP = 0.01  # seconds between two looks at a shape


def shaped(random, shape, per_second, seconds):
    """When jobs come, by a Poisson process whose rate follows the shape: its first and last factors hold
    before and after. Drawn by the inverse of the summed rate (Cinlar 1975).
    """
    at = numpy.arange(0, seconds + STEP, STEP)
    rate = per_second * numpy.interp(at, [second for second, _ in shape], [factor for _, factor in shape])
    summed = numpy.concatenate([[0.0], numpy.cumsum((rate[1:] + rate[:-1]) / 2 * STEP)])
    count = int(random.poisson(summed[-1]))
    return numpy.interp(numpy.sort(random.random(count)) * summed[-1], summed, at)


class Clients:
    def __init__(self, harness, told, seed, seconds):
        self.harness, self.told, self.front = harness, told, Front(harness)
        self.random = numpy.random.Generator(numpy.random.PCG64([seed, 2]))
        self.over = False  # nothing more comes, whatever was drawn
        shares = numpy.array([one.share for one in told.queue_types])
        self.shares = shares / shares.sum()
        if told.shape:
            self.times = shaped(self.random, told.shape, told.per_second, seconds)
            count = len(self.times)
        else:
            count = int(self.random.poisson(told.per_second * seconds)) if told.per_second else 0
            self.times = numpy.sort(self.random.random(count)) * seconds
        self.kinds = self.random.choice(len(shares), count, p=self.shares)
        self.keyed = self.random.random(count) < told.keyed
        # Some come again after their answer, as who taps twice does: in so many seconds, or never.
        self.again = numpy.where(
            self.random.random(count) < told.again_after, 0.05 + 3 * self.random.random(count), 0.0
        )

    async def run(self, began):
        jobs = []
        for n, (at, kind) in enumerate(zip(self.times, self.kinds, strict=True)):
            if self.over:
                break
            wait = began / 1e6 + at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            elif wait < -0.05:
                self.harness.late = max(self.harness.late, -wait)
            jobs.append(asyncio.create_task(self.job(n, self.told.queue_types[kind])))
        if jobs:
            await asyncio.wait(jobs)

    async def job(self, n, kind):
        """One job with its tries; each has a new id, all of them one key."""
        key = f"k{n}" if self.keyed[n] else ""
        for attempt in range(1 + self.told.retries):
            again = await self.attempt(f"j{n}.{attempt}", key, kind, attempt)
            if again is None:
                break
            await asyncio.sleep(again)
        if self.again[n]:
            await asyncio.sleep(self.again[n])
            await self.attempt(f"j{n}.again", key, kind, 1)

    async def attempt(self, job, key, kind, attempt):
        """How long to wait before the next try; None where there is none."""
        who = self.front.pick(self.random)
        place = self.harness.nodes[who].listen
        walltime = int(kind.walltime_ms)
        writer, idle = None, self.front.idle.setdefault(who, deque())
        conn = h11.Connection(h11.CLIENT)
        content = b"x" * 20
        raw = conn.send(
            h11.Request(
                method="POST",
                target=f"/{kind.name}",
                headers=[
                    ("host", place),
                    ("x-txn", job),
                    ("x-remaining-ms", str(walltime)),
                    *([("idempotency-key", key)] if key else []),
                    *([("x-resent", "1")] if attempt else []),
                    ("content-length", str(len(content))),
                ],
            )
        )
        raw += conn.send(h11.Data(data=content)) + conn.send(h11.EndOfMessage())
        try:
            while idle:
                reader, writer = idle.pop()
                if not reader.at_eof() and not writer.is_closing():
                    break
                writer.close()
                writer = None
            if writer is None:
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(*address(place))
        except (OSError, TimeoutError):
            # Nothing was sent, so nobody has taken it.
            self.front.ready[who] = False
            return 0.02
        sent = now()
        self.harness.note(
            "sent",
            at=sent,
            job=job,
            key=key,
            type=kind.name,
            who=who,
            walltime=walltime * 1000,
            attempt=attempt,
        )
        patience = self.told.patience_ms / 1000
        try:
            writer.write(raw)
            async with asyncio.timeout(min(patience or 1e9, walltime / 1000 + 1.0)):
                head = await event(conn, reader)
                if not isinstance(head, h11.Response):
                    raise ConnectionError("ended")
                result = await body(conn, reader)
            status, fields = head.status_code, dict(head.headers)
            self.harness.note(
                "answer",
                job=job,
                status=status,
                ms=(now() - sent) / 1000,
                who=who,
                type=kind.name,
                result=result.decode("latin-1")[:60],
                retry=fields.get(b"retry-after", b"").decode(),
            )
            if conn.their_state is h11.DONE and fields.get(b"connection") != b"close":
                idle.append((reader, writer))
                writer = None
            if status in (429, 503):
                return float(fields.get(b"retry-after", b"0.05") or 0.05)
            return None
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            if patience and isinstance(error, TimeoutError):
                # It was tired of waiting, and comes again.
                self.harness.note("left", job=job, who=who, ms=(now() - sent) / 1000)
                return 0.05
            self.harness.note("lost", job=job, who=who, why=type(error).__name__, ms=(now() - sent) / 1000)
            return 0.1 if self.told.again_when_lost else None
        finally:
            if writer is not None:
                writer.close()
