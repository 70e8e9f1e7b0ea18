"""Changes of the endpoint list: what is kept by difference equals the same computed anew, at little cost."""

import random
import time
from collections import Counter
from zlib import crc32

import pytest
from helpers import entry, pull, scheduler

from mastledge.scheduling.home_assignment import MAX_SHARE_OF_KEYS, WorkShares
from mastledge.scheduling.rendezvous import RANKS, PackedHashes, rank

SECOND_US = 1_000_000
REPLACED_WITHIN_S = 7.0  # time in which six in ten workers may be replaced
JOBS_MEANWHILE = 70
LONGEST_HOLD_UP_S = 0.15  # for which a dispatcher may be held up between reading its clock and writing


def order_anew(key, ready):
    """Return all ready workers in the order of the key."""
    salt = crc32(str(key).encode())
    return sorted(ready, key=lambda worker: (worker.name_hash ^ salt) * 0x9E3779B1 % (1 << 32))


def homes_anew(key_work, ready, running_time):
    """Return the homes of all keys, with all workers sorted for each key."""
    shares, homes_by_key = Counter(), {}
    total = max(1.0, sum(key_work.values()) + len(ready) * running_time)
    max_share = MAX_SHARE_OF_KEYS / len(ready) if ready else 0.0
    for key, work in key_work.most_common():
        share, order = work / total, order_anew(key, ready)
        count = 1 + int(share * len(ready))
        homes = [worker for worker in order if shares[worker] + share / count <= max_share][:count]
        homes_by_key[key] = homes or order[:1]
        for worker in homes_by_key[key]:
            shares[worker] += share / count
    return homes_by_key


def ready_anew(fleet):
    listed = [worker for worker in fleet.workers.values() if worker.state == "ready"]
    return [worker for worker in listed if str(worker.id) not in fleet.excluded]


class Deployment:
    """A scheduler with a fleet that changes at random, and the same values computed anew."""

    def __init__(self, seed, workers, keys, work_of_key):
        self.random = random.Random(seed)
        self.scheduler = scheduler(workers=workers, dispatchers=16, conn_idle=SECOND_US)
        self.listed = {i: "ready" for i in range(workers)}
        self.now, self.jobs, self.next_worker = 0, 0, workers
        self.keys, self.work_of_key, self.expected = keys, work_of_key, {}
        affinity = self.scheduler.affinity
        self.assign_homes, affinity.assign_homes = affinity.assign_homes, self.note_change

    def note_change(self):
        """Compute the homes that hold from this change of the fleet, or second, on."""
        ready = ready_anew(self.scheduler.fleet)
        running_time = self.scheduler.estimates.running_time.mean
        self.expected = homes_anew(self.scheduler.affinity.key_work, ready, running_time)
        self.assign_homes()

    def tell(self, kind, entries):
        self.scheduler.update_endpoints(self.now, kind, entries)
        gone = [worker for worker in self.scheduler.fleet.workers.values() if worker.state == "gone"]
        assert all(worker.in_flight for worker in gone)
        self.check_members()

    def some(self, most):
        count = self.random.randint(1, most)
        return self.random.sample(sorted(self.listed), min(count, len(self.listed)))

    def set_states(self, workers, state):
        for worker in workers:
            self.listed[worker] = state
        self.tell("changes", [entry(worker, state, self.now) for worker in workers])
        if state == "gone":
            for worker in workers:
                del self.listed[worker]

    def replace(self):
        gone = self.some(4)
        new = [self.next_worker + n for n in range(len(gone))]
        self.next_worker += len(new)
        # Lost, doubled and late: an entry comes twice, and one of a worker that nobody knows.
        self.tell("changes", [entry(worker, "gone") for worker in (*gone, *gone[:1], 10**6)])
        for worker in gone:
            del self.listed[worker]
        self.set_states(new, "ready")

    def drain(self):
        self.set_states(self.some(8), "draining")

    def come_back(self):
        self.set_states([worker for worker, state in self.listed.items() if state == "draining"], "ready")

    def lose_many(self):
        self.set_states(self.some(1 + len(self.listed)), "draining")

    def lose_all(self):
        self.set_states(list(self.listed), "gone")
        self.listed = {self.next_worker + n: "ready" for n in range(self.random.randrange(3, 40))}
        self.next_worker += len(self.listed)
        self.whole_list()

    def whole_list(self):
        for worker in self.some(3):
            del self.listed[worker]
        listed = list(self.listed.items())
        self.random.shuffle(listed)
        self.tell("whole", [entry(worker, state) for worker, state in listed])

    def nothing(self):
        self.tell("changes", ())

    def exclude(self):
        excluded = frozenset(str(worker) for worker in self.some(5))
        before = self.scheduler.fleet.excluded
        readmitted = {worker: self.now for worker in before if worker not in excluded}
        self.scheduler.set_excluded(self.now, excluded, readmitted)

    def arrive(self):
        for _ in range(self.random.randrange(1, 12)):
            self.jobs += 1
            key = self.random.randrange(1, self.keys + 1)
            self.scheduler.job_arrived(
                self.now, self.jobs, 0, self.work_of_key(self.random, key), key, 1.0, 0.0, 0, 5 * SECOND_US
            )

    def run_jobs(self):
        self.arrive()
        for decision in pull(self.scheduler, self.now):
            outcome = self.random.choice(["completed"] * 4 + ["error", "lost"])
            self.scheduler.launch_started(self.now, decision.job, 0)
            self.scheduler.launch_ended(self.now, decision.job, 0, outcome, 50_000, True, [])

    def hear_of_keys(self):
        reported = [(self.random.randrange(1, self.keys + 1), 60_000.0) for _ in range(5)]
        self.scheduler.load_message_received(self.now, 1, self.now, [], reported)

    def second(self):
        pull(self.scheduler, self.now)
        self.now += SECOND_US
        self.scheduler.decay(self.now)
        self.check_members()

    def check_members(self):
        subset = self.scheduler.subset
        if subset.has_non_members:
            ready = ready_anew(self.scheduler.fleet)
            assert all(worker in ready and not worker.ejections for worker in subset.members)

    def check(self):
        """Compare what is kept by difference with the same computed anew."""
        fleet, affinity, subset = self.scheduler.fleet, self.scheduler.affinity, self.scheduler.subset
        ready = ready_anew(fleet)
        assert fleet.ready == ready
        assert fleet.ready_set == set(ready)
        assert fleet.ready_by_name_hash == {worker.name_hash: worker for worker in ready}
        ejections = Counter(reason for worker in ready for reason in worker.ejections)
        assert self.scheduler.outliers.counts == ejections
        is_member = [subset.has_non_members and worker in subset.members for worker in fleet.workers.values()]
        assert [subset.is_member(worker) for worker in fleet.workers.values()] == is_member
        assert all(affinity.homes_of(key) == homes for key, homes in self.expected.items())
        assert affinity.homes == self.expected
        for key in range(1, self.keys + 1, 7):
            first = affinity.orders.first(key, 3)
            assert first == order_anew(key, ready)[: len(first)]
            assert len(first) >= min(3, len(ready))
            assert affinity.homes_of(key) == self.expected.get(key, first[:1])

    STEPS = (
        replace,
        drain,
        come_back,
        lose_many,
        whole_list,
        nothing,
        exclude,
        run_jobs,
        hear_of_keys,
        second,
    )


def even(_random, _key):
    return 100_000


def uneven(source, key):
    return int(source.lognormvariate(11.0, 1.5) / key)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    ("workers", "keys", "work_of_key"), [(3, 60, even), (24, 40, even), (60, 80, uneven), (150, 400, uneven)]
)
def test_fleet_kept_by_difference_equals_fleet_computed_anew(seed, workers, keys, work_of_key):
    # Guards against stale homes, ready workers, members or counts after any order of changes and jobs.
    deployment = Deployment(seed, workers, keys, work_of_key)
    for number in range(200):
        step = deployment.random.choice(Deployment.STEPS) if number % 25 else Deployment.lose_all
        step(deployment)
        if deployment.random.random() < 0.3:
            deployment.check()
    deployment.check()


def test_homes_are_those_of_the_last_change_before_the_job():
    # Guards against homes that count work or running times which came after the change that set them.
    deployment = Deployment(1, 40, 30, uneven)
    deployment.scheduler.affinity.add_key_work([(1, 5e7)])  # enough for many homes
    for step in (Deployment.arrive, Deployment.replace, Deployment.arrive, Deployment.replace):
        step(deployment)
    expected = dict(deployment.expected)
    deployment.scheduler.estimates.running_time.mean *= 100
    deployment.arrive()
    deployment.hear_of_keys()
    assert deployment.scheduler.affinity.homes == expected


def test_orders_follow_a_fleet_that_grows_and_shrinks():
    # Guards against orders that miss workers after they were shortened or extended.
    dispatcher, keys = scheduler(workers=20), range(1, 40)
    assert_orders_as_anew(dispatcher, keys)
    for first, last in ((20, 300), (300, 301), (301, 1_500), (1_500, 1_501), (1_501, 4_000), (4_000, 4_001)):
        dispatcher.update_endpoints(0, "changes", [entry(worker) for worker in range(first, last)])
        assert_orders_as_anew(dispatcher, keys)
    for first, last in ((0, 1), (1, 2_000), (2_000, 2_001), (2_001, 3_990)):
        dispatcher.update_endpoints(0, "changes", [entry(worker, "gone") for worker in range(first, last)])
        assert_orders_as_anew(dispatcher, keys)


def assert_orders_as_anew(dispatcher, keys):
    for key in keys:
        dispatcher.affinity.homes_of(key)
        first = dispatcher.affinity.orders.first(key)
        assert first == order_anew(key, dispatcher.ready)[: len(first)]
        assert min(8, len(dispatcher.ready)) <= len(first) < 300


def test_workers_of_the_same_hash_keep_the_order_of_the_list():
    # Guards against homes that differ between dispatchers for two ids with the same CRC-32.
    assert crc32(b"plumless") == crc32(b"buckeroo")
    dispatcher = scheduler(workers=0)
    names = ["plumless", "buckeroo", *(f"w{n}" for n in range(20))]
    listed = [(0, name, "ready", 0, 0, 0, 1.0) for name in names]
    dispatcher.update_endpoints(0, "whole", listed)
    for key in range(1, 300):
        dispatcher.affinity.orders.first(key, 2)
    for name in ("plumless", "buckeroo", "plumless"):
        dispatcher.update_endpoints(0, "changes", [(0, name, "draining", 0, 0, 0, 1.0)])
        dispatcher.affinity.homes_of(1)
        dispatcher.update_endpoints(0, "changes", [(0, name, "ready", 0, 0, 0, 1.0)])
        for key in range(1, 300):
            dispatcher.affinity.homes_of(key)
            first = dispatcher.affinity.orders.first(key, 2)
            assert first == order_anew(key, dispatcher.ready)[: len(first)]


def test_packed_ranks_equal_ranks_one_by_one():
    # Guards against a carry from one lane into the next.
    hashes = [0, 1, RANKS - 1, RANKS - 2, 0x9E3779B1, *(crc32(b"%d" % n) for n in range(500))]
    limits = [0, 1, RANKS, RANKS - 1, RANKS // 2, *(n * RANKS // 500 for n in range(500))]
    packed = PackedHashes(hashes)
    for other in (0, 1, RANKS - 1, 0x9E3779B1, crc32(b"x")):
        ranks = [rank(one, other) for one in hashes]
        expected = [at for at, (one, limit) in enumerate(zip(ranks, limits, strict=True)) if one < limit]
        assert packed.positions_below(other, packed.limits(limits)) == expected
        for limit in (0, 1, RANKS // 3, RANKS):
            expected = [at for at, one in enumerate(ranks) if one < limit]
            assert packed.positions_below(other, packed.uniform_limits(limit)) == expected
    assert PackedHashes([]).positions_below(1, PackedHashes([]).uniform_limits(RANKS)) == []


def test_workers_with_room_are_found_after_each_share():
    # Guards against a home that is crowded by the keys that were assigned since the shares were sorted.
    workers, source = scheduler(workers=30).ready, random.Random(3)
    shares = WorkShares(workers)
    for _ in range(300):
        part = source.choice([0.001, 0.004, 0.02])
        with_room = shares.with_room_for(part)
        assert set(with_room) == {
            worker for worker in workers if shares.of_worker[worker] + part <= shares.max_share
        }
        if with_room:
            shares.add(source.choice(with_room), part)


def scheduler_with_keys(workers, keys):
    """Return a scheduler that knows many keys, and whose homes have been assigned."""
    dispatcher = scheduler(workers=workers, dispatchers=16)
    source = random.Random(5)
    dispatcher.affinity.add_key_work((key, source.uniform(1e6, 4e6)) for key in range(1, keys + 1))
    dispatcher.decay(0)
    dispatcher.affinity.homes_of(keys)
    return dispatcher


def decide_job_with_key(dispatcher, job, key, now=0):
    dispatcher.job_arrived(now, job, 0, 100_000, key, 1.0, 0.0, 0, 5 * SECOND_US)
    return pull(dispatcher, now)


@pytest.mark.parametrize("keys", [2_200, 4_096])
def test_replaced_workers_leave_time_for_jobs_though_many_keys_are_known(keys):
    # Guards against a dispatcher that answers nobody while workers are replaced (review/5).
    workers, replaced = 200, 120
    dispatcher = scheduler_with_keys(workers, keys)
    began, decisions = time.thread_time(), []
    for number in range(replaced):
        dispatcher.update_endpoints(0, "changes", [entry(number, "gone")])
        dispatcher.update_endpoints(0, "changes", [entry(workers + number)])
        if len(decisions) < JOBS_MEANWHILE * (number + 1) // replaced:
            decisions += decide_job_with_key(dispatcher, number, 1 + number * 17 % keys)
        assert time.thread_time() - began < REPLACED_WITHIN_S, f"after {number + 1} of {replaced}"
    assert len(decisions) == JOBS_MEANWHILE


def test_keys_and_workers_at_size_hold_up_no_job():
    # Guards against a cost of workers times keys for a change of the list, an exclusion or a second.
    workers, keys = 3_200, 500
    dispatcher = scheduler_with_keys(workers, keys)
    zone = range(workers - 640, workers)
    steps = {
        "nothing changed": lambda: dispatcher.update_endpoints(0, "changes", ()),
        "the same whole list": lambda: dispatcher.update_endpoints(0, "whole", map_entries(range(workers))),
        "one worker gone": lambda: dispatcher.update_endpoints(0, "changes", [entry(0, "gone")]),
        "a zone drains": lambda: dispatcher.update_endpoints(0, "changes", map_entries(zone, "draining")),
        "the zone returns": lambda: dispatcher.update_endpoints(0, "changes", map_entries(zone)),
        "workers excluded": lambda: dispatcher.set_excluded(0, frozenset(map(str, range(40))), {}),
        "a second": lambda: dispatcher.decay(0),
        "other settings": lambda: dispatcher.reconfigure(0, dict(dispatcher.settings)),
        "a report of keys": lambda: dispatcher.load_message_received(0, 1, 1, [], [(7, 1e6)]),
    }
    taken = {}
    for number, (name, step) in enumerate(steps.items()):
        began = time.thread_time()
        step()
        decide_job_with_key(dispatcher, number, 1 + number)
        taken[name] = time.thread_time() - began
    assert not {name: seconds for name, seconds in taken.items() if seconds > LONGEST_HOLD_UP_S}


def scheduler_at_size(workers, born=0):
    """Return a scheduler with so much traffic that it uses more than half of the workers."""
    dispatcher = scheduler(workers=0, dispatchers=16, conn_idle=60 * SECOND_US)
    dispatcher.update_endpoints(0, "whole", map_entries(range(workers), born=born))
    dispatcher.traffic.arrivals, dispatcher.traffic.seconds = [60.0 * 12], 12.0
    dispatcher.recompute()
    assert workers // 2 < len(dispatcher.subset.members) < workers
    return dispatcher


def test_single_changes_at_size_are_handled_faster_than_they_come():
    # Guards against a dispatcher that only handles changes while six in ten of 3,200 workers are replaced.
    workers, part = 3_200, 10
    dispatcher = scheduler_at_size(workers)
    began = time.thread_time()
    for number in range(workers * 6 // 10 // part):
        dispatcher.update_endpoints(0, "changes", [entry(number, "gone")])
        dispatcher.update_endpoints(0, "changes", [entry(workers + number)])
        assert time.thread_time() - began < REPLACED_WITHIN_S / part, f"after {number + 1} workers"


def test_whole_fleet_at_size_holds_up_no_job():
    # Guards against a cost of workers times members of the subset, for a list, an operator's call or a job.
    workers = 3_200
    dispatcher, warming_up = scheduler_at_size(workers), scheduler_at_size(workers, born=1)
    zone = range(workers - 640, workers)
    others = range(workers, 2 * workers)
    steps = {
        "a zone drains": lambda: dispatcher.update_endpoints(0, "changes", map_entries(zone, "draining")),
        "skipped workers": lambda: dispatcher.count_skipped_workers(0),
        "the zone returns": lambda: dispatcher.update_endpoints(0, "changes", map_entries(zone)),
        "all are replaced": lambda: dispatcher.update_endpoints(0, "whole", map_entries(others)),
        "a job while all warm up": lambda: decide_job_with_key(warming_up, 1, 0, now=10_000),
    }
    taken = {}
    for name, step in steps.items():
        began = time.thread_time()
        step()
        taken[name] = time.thread_time() - began
    assert not {name: seconds for name, seconds in taken.items() if seconds > LONGEST_HOLD_UP_S}


def map_entries(workers, state="ready", born=0):
    return [entry(worker, state, born) for worker in workers]
