"""Changes that this dispatcher proposes: operators wait for the result, the program gets a callback.

A change is a plain dict, as it is stored in the log and sent in messages (`consensus/changes.py`).
"""

import time
from collections.abc import Callable, Generator

from mastledge.consensus import inputs, outputs
from mastledge.consensus.member import Member
from mastledge.consensus.state_machine import ChangeResult
from mastledge.program.consensus_driver import ConsensusDriver
from mastledge.protocol.control import Answer
from mastledge.protocol.errors import CallRefusedError

CALLER_TIMEOUT_US = 700_000  # below the 1 s that a caller waits
POLL_INTERVAL_US = 5_000
MAX_RESULTS = 64  # results that no caller has taken
NS_PER_US = US_PER_MS = 1000
OK, ACCEPTED, UNAVAILABLE = 200, 202, 503


def unix_us() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // NS_PER_US


class ChangeRequests:
    """Proposes changes through the member of this dispatcher, and delivers their results."""

    def __init__(self, driver: ConsensusDriver) -> None:
        """Take the driver whose member proposes the changes."""
        self.driver, self.loop = driver, driver.loop
        self.name, self.seed = driver.configuration.name, driver.configuration.seed
        self.results: dict[str, outputs.Committed] = {}  # results of operators' changes, by change id
        # Callbacks of the program's own changes, by change id.
        self.callbacks: dict[str, Callable[[ChangeResult], None] | None] = {}
        self.proposal_count = 0

    def propose(self, id: str, change: dict, on_result: Callable[[ChangeResult], None] | None = None) -> None:
        """Propose a change of the program itself; proposals with the same `id` are applied once.

        `on_result` is called in a separate turn of the event loop, if there still is a member.
        """
        self.callbacks[id] = on_result
        self.driver.step(inputs.Propose(id, {**change, "by": self.name, "at": 0}))

    def commit(self, change: dict) -> Generator[tuple, object, Answer]:
        """Propose an operator's change and wait for it to be in force, within the caller's timeout.

        Return 200 if it is in force and 202 if it is only committed, as a coroutine. Raise
        `CallRefusedError` with the status of a refusal, or with 503 if it was not committed in time.
        """
        self.driver_member()
        id = self._new_id()
        change = {**change, "by": self.name, "at": change.get("at") or unix_us()}
        deadline = self.loop.now() + CALLER_TIMEOUT_US
        self.driver.step(inputs.Propose(id, change))
        try:
            committed = yield from self._wait_committed(id, deadline)
            yield from self._wait_in_force(committed.index, deadline)
        finally:
            self.results.pop(id, None)
            self.driver.step(inputs.ForgetProposal(id))
        return self._answer(committed)

    def driver_member(self) -> Member:
        """Return the member; raise `CallRefusedError` if another process of this dispatcher runs it."""
        if self.driver.member is None:
            raise CallRefusedError(
                UNAVAILABLE, "here only: the process beside this one speaks for this dispatcher"
            )
        return self.driver.member

    def committed(self, committed: outputs.Committed) -> None:
        """Handle the result of a change from the driver."""
        if committed.id in self.callbacks:
            self.loop.spawn(self._call_back(committed))
            return
        self.results[committed.id] = committed
        while len(self.results) > MAX_RESULTS:
            del self.results[next(iter(self.results))]

    def _new_id(self) -> str:
        self.proposal_count += 1
        incarnation = self.driver.member.incarnation
        return f"{self.name}.{incarnation}.{self.seed & 0xffff}.{time.time_ns()}.{self.proposal_count}"

    def _wait_committed(self, id: str, deadline: int) -> Generator:
        while id not in self.results:
            member = self.driver_member()
            if self.loop.now() >= deadline:
                reason = member.no_lease_reason() or "no leader has answered"
                raise CallRefusedError(UNAVAILABLE, f"here only: {reason}")
            yield (-1, 0, self.loop.now() + POLL_INTERVAL_US)
        committed = self.results[id]
        if committed.result.reason and committed.result.status != OK:
            raise CallRefusedError(committed.result.status, committed.result.reason)
        return committed

    def _wait_in_force(self, index: int, deadline: int) -> Generator:
        while self.driver_member().lease.in_force_index < index and self.loop.now() < deadline:
            yield (-1, 0, self.loop.now() + POLL_INTERVAL_US)

    def _answer(self, committed: outputs.Committed) -> Answer:
        member, result = self.driver.member, committed.result
        text = f"version {result.version}" + (f": {result.reason}" if result.reason else "")
        etag = (b"etag", b'"%d"' % result.version)
        if member.lease.in_force_index >= committed.index:
            return Answer(OK, text + " is in force", [etag])
        left_ms = max(1, (member.lease.in_force_by - self.loop.now()) // US_PER_MS)
        return Answer(
            ACCEPTED,
            f"{text} is in force in {left_ms} ms at the latest",
            [etag, (b"in-force-in-ms", b"%d" % left_ms)],
        )

    def _call_back(self, committed: outputs.Committed) -> Generator:
        """Call back in a separate task, because a step of the member must not begin within another step."""
        yield from ()
        on_result = self.callbacks.pop(committed.id, None)
        self.driver.step(inputs.ForgetProposal(committed.id))
        if on_result is not None and self.driver.member is not None:
            on_result(committed.result)
