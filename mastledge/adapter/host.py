"""Runs many independent scheduler instances on the bench wire."""

import sys
import traceback

from mastledge.adapter import frames
from mastledge.adapter.frames import BadFrameError, EventCode, Frame
from mastledge.program.settings import SettingError, parse_pairs, parse_settings
from mastledge.protocol import load_messages
from mastledge.scheduling.decisions import (
    Decision,
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
STARTED_TOPIC, PROGRESS_TOPIC = 1, 2  # topics of a note record
HINTED = 1  # flag bit of a new job: its hint is valid
# Plain numbers, as these are compared for each event and enum members are slower.
POOL, POWER_ON, TEARDOWN = int(EventCode.POOL), int(EventCode.POWER_ON), int(EventCode.TEARDOWN)
LONGEST_SPAN_MS = 1e12


class Host:
    """Holds the scheduler instances by number with their timers, and the endpoint lists by number."""

    def __init__(self):
        """Start without instances."""
        self.instances: dict[int, Scheduler] = {}
        self._timers: dict[int, int | None] = {}
        self._endpoint_lists: dict[int, list[tuple]] = {}
        self._actions: list[bytes] = []
        self._tail = bytearray()
        self._inputs = {
            EventCode.NOTE: self._note,
            EventCode.END: self._launch_ended,
            EventCode.NEW: self._job_arrived,
            EventCode.DUE: self._timer_is_due,
            EventCode.MEMBERSHIP: self._update_endpoints,
            EventCode.ABANDONED: self._job_abandoned,
            EventCode.INBOX: self._load_message,
        }

    def turn(self, frame: Frame) -> bytes:
        """Return the reply to a frame; raise BadFrameError or SettingError if the frame is invalid.

        An exception inside one instance is reported as an action of the reply; the others go on.
        """
        self._actions, self._tail = [], bytearray()
        touched: dict[int, bool] = {}
        for position, code, fields in frame.events():
            try:
                self._apply_record(frame, position, code, fields, touched)
            except (BadFrameError, SettingError):
                raise
            except Exception as error:
                self._report_exception(fields[0], error)
        for instance in touched:
            try:
                self._collect_actions(frame.now, instance, self.instances[instance])
            except Exception as error:
                self._report_exception(instance, error)
        return frames.reply(self._actions, bytes(self._tail))

    # Events

    def _apply_record(self, frame, position, code, fields, touched):  # noqa: PLR0913 - the fields of a record
        instance = fields[0]
        if code == POOL:
            self._store_endpoint_list(frame, position, fields)
        elif code == POWER_ON:
            self._power_on(frame, position, fields)
            touched[instance] = True
        elif code == TEARDOWN:
            self.instances.pop(instance, None)
            self._timers.pop(instance, None)
            touched.pop(instance, None)
        elif instance in self.instances:
            handler = self._inputs.get(code)
            if handler is not None:
                handler(frame, position, fields, self.instances[instance])
            touched[instance] = True

    def _power_on(self, frame, position, fields):
        instance, seed, offset, size = fields
        raw = bytes(frame.tail_part(position, offset, size, "settings"))
        try:
            settings = parse_settings(parse_pairs(raw.decode()))
        except UnicodeDecodeError as error:
            raise SettingError(f"settings are not valid UTF-8: {error}") from None
        self._timers[instance] = None
        self.instances[instance] = Scheduler(settings, seed, frame.now)

    def _store_endpoint_list(self, frame, position, fields):
        number, offset, size = fields
        part = frame.tail_part(position, offset, size * frames.LIST_ENTRY.size, "list entries")
        entries = []
        for zone, worker, state, born_ms, kind, cell, units in frames.list_entries(part):
            if state not in WORKER_STATES:
                raise BadFrameError(f"record {position}: unknown worker state {state}")
            born = _microseconds(position, "start time", born_ms)
            entries.append((zone, worker, WORKER_STATES[state], born, kind, cell, units))
        self._endpoint_lists[number] = entries

    def _update_endpoints(self, frame, position, fields, scheduler):
        _, kind, _, list_number = fields
        if kind not in LIST_KINDS:
            raise BadFrameError(f"record {position}: unknown list kind {kind}")
        if LIST_KINDS[kind] == ListKind.FAILED:
            scheduler.update_endpoints(frame.now, ListKind.FAILED, ())
        elif list_number not in self._endpoint_lists:
            raise BadFrameError(f"record {position}: endpoint list {list_number} does not exist")
        else:
            scheduler.update_endpoints(frame.now, LIST_KINDS[kind], self._endpoint_lists[list_number])

    def _note(self, frame, position, fields, scheduler):
        _, job, launch, value, topic, _ = fields
        if topic == STARTED_TOPIC:
            scheduler.launch_started(frame.now, job, launch)
        elif topic == PROGRESS_TOPIC:
            scheduler.launch_progressed(frame.now, job, launch, value)

    def _launch_ended(self, frame, position, fields, scheduler):
        _, job, _, lag_ms, launch, _, final, status, size, *report = fields
        if status not in OUTCOMES:
            raise BadFrameError(f"record {position}: unknown end status {status}")
        lag = _microseconds(position, "lag", lag_ms)
        scheduler.launch_ended(frame.now, job, launch, OUTCOMES[status], lag, final != 0, report[:size])

    def _job_arrived(self, frame, position, fields, scheduler):
        _, job, hint_ms, key, queue_type, flags, width, tenant, patience_ms, memory = fields
        if queue_type >= len(scheduler.queue_types):
            raise BadFrameError(f"record {position}: unknown queue type {queue_type}")
        hint = _microseconds(position, "hint", hint_ms) if flags & HINTED else 0
        patience = _microseconds(position, "patience", patience_ms)
        scheduler.job_arrived(frame.now, job, queue_type, hint, key, width or 1.0, memory, tenant, patience)

    def _job_abandoned(self, frame, position, fields, scheduler):
        scheduler.job_abandoned(frame.now, fields[1])

    def _timer_is_due(self, frame, position, fields, scheduler):
        instance = fields[0]
        timer = self._timers.get(instance)
        if timer is not None and timer <= frame.now:
            self._timers[instance] = None

    def _load_message(self, frame, position, fields, scheduler):
        _, sender, offset, size = fields
        message = load_messages.decoded(bytes(frame.tail_part(position, offset, size, "message")))
        if message is not None:
            scheduler.load_message_received(frame.now, sender, *message)

    # Actions

    def _collect_actions(self, now, instance, scheduler):
        """Append all decisions of an instance as actions, then its next wake-up."""
        decide = scheduler.decide
        while (decision := decide(now)) is not None:
            self._actions.append(self._action_of(instance, decision))
        wake, timer = scheduler.wake_at(), self._timers[instance]
        if wake is not None and (timer is None or wake < timer):
            self._timers[instance] = wake = max(wake, now + 1)
            self._actions.append(frames.pack_wake(frames.WAKE, instance, wake // 1000, wake / 1000))

    def _action_of(self, instance: int, decision: Decision) -> bytes:
        match decision:
            case LaunchJob(job, worker, _):
                # The bench sends at once, so the limit is always met; 0: no timeout for the launch.
                return frames.pack_launch(frames.LAUNCH, instance, job, worker, 0)
            case RejectJob(job, retry_after):
                return frames.pack_reject(frames.REJECT, instance, job, retry_after / 1000)
            case KillJob(job):
                return frames.pack_kill(frames.KILL, instance, job)
            case RevokeLaunch(job, number):
                return frames.pack_revoke(frames.REVOKE, instance, job, number)
            case FollowEndpoints():
                return frames.pack_follow(frames.FOLLOW, instance, 1)
            case SendLoadMessage(sent_at, loads, key_work):
                content = load_messages.encoded(sent_at, loads, key_work)
                offset = self._attach(content)
                return frames.pack_message(frames.MESSAGE, instance, frames.TO_ALL, offset, len(content))
        raise TypeError(f"no such decision: {decision}")

    def _report_exception(self, instance, error):
        traceback.print_exc(file=sys.stderr)
        text = f"{type(error).__name__}: {error}".encode()
        offset = self._attach(text)
        self._actions.append(frames.pack_text(frames.FATAL, instance, offset, len(text)))

    def _attach(self, content: bytes) -> int:
        """Append content to the tail; return its offset."""
        offset = len(self._tail)
        self._tail += content
        return offset


def _microseconds(position: int, field: str, span_ms: float) -> int:
    """Return a time span in whole microseconds; raise BadFrameError if it is out of range."""
    if not -LONGEST_SPAN_MS < span_ms < LONGEST_SPAN_MS:
        raise BadFrameError(f"record {position}: {field} {span_ms} is out of range")
    return round(span_ms * 1000)
