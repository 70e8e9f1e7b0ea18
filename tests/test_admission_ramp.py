"""Tests of the limit of jobs in flight after a start and in an overload; without processes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mastledge.recovery.admission_ramp import AdmissionRamp, AdmittedJobOutcome, LimitReason, PeerLoad

COMPLETED, REJECTED, FAILED = AdmittedJobOutcome


def started_ramp(slots=16.0, dispatchers=2, max_ramp_us=5_000_000):
    """Return a ramp that was started at time 0."""
    ramp = AdmissionRamp(7, 0, max_ramp_us, 1_000_000)
    ramp.resize(slots, dispatchers)
    ramp.start(0)
    return ramp


def test_limit_starts_at_half_the_share_and_is_lifted_by_completed_jobs():
    ramp = started_ramp()
    retry_afters = [ramp.admit(0, False) for _ in range(6)]
    assert retry_afters[:4] == [None] * 4
    assert all(0 < wait <= 1_000_000 for wait in retry_afters[4:])
    in_flight, now = 4, 0
    while ramp.limited:
        now += 100_000
        assert in_flight <= ramp.full_limit() + 1
        for _ in range(in_flight):
            ramp.record_outcome(now, COMPLETED, 100_000)
        in_flight = 0
        while in_flight < 100 and ramp.admit(now, False) is None:
            in_flight += 1
    assert now <= 500_000
    assert ramp.admit(now, False) is None
    assert ramp.open_fraction() == 1.0


def test_start_ends_at_its_bound_or_after_a_second_without_rejections():
    ramp = started_ramp()
    ramp.update(999_999)
    assert ramp.limited
    ramp.update(1_000_000)
    assert not ramp.limited
    ramp = started_ramp()
    for now in range(0, 5_000_000, 100_000):
        ramp.admit(now, False)
    assert ramp.limited
    ramp.update(5_000_000)
    assert not ramp.limited


def test_time_before_the_dispatcher_may_serve_lifts_no_limit():
    ramp = AdmissionRamp(7, 0, 5_000_000, 1_000_000)
    ramp.resize(16, 2)
    ramp.update(60_000_000)  # a minute without a majority
    assert ramp.limited
    ramp.start(60_000_000)
    ramp.update(60_500_000)
    assert ramp.limited
    assert ramp.admit(60_500_000, True) is None
    ramp.update(61_000_000)
    assert not ramp.limited


def test_loads_of_serving_peers_raise_the_limit_of_a_start():
    ramp = started_ramp(slots=160, dispatchers=20)
    assert ramp.limit == 4
    ramp.use_peer_loads([PeerLoad(9, True), PeerLoad(11, True), PeerLoad(0, False)])
    assert ramp.limit > 8
    starting_ramp = started_ramp(slots=160, dispatchers=20)
    starting_ramp.use_peer_loads([PeerLoad(9, True), PeerLoad(0, False), PeerLoad(0, False)])
    assert starting_ramp.limit == 4  # most have just started too, so their loads say nothing


def overloaded_ramp():
    """Return a ramp whose limit is in force again, as 30 admitted jobs failed."""
    ramp = started_ramp()
    ramp.update(2_000_000)
    for _ in range(30):
        assert ramp.admit(2_000_000, False) is None
    for _ in range(30):
        ramp.record_outcome(2_100_000, FAILED, 100_000)
    return ramp


def test_failed_jobs_put_the_limit_in_force_again_and_first_attempts_come_before_retries():
    ramp = overloaded_ramp()
    assert ramp.limited
    assert ramp.reason == LimitReason.OVERLOAD
    assert ramp.limit == ramp.slot_share == 8
    retries = sum(ramp.admit(2_100_000, True) is None for _ in range(20))
    assert retries == 7  # retries are admitted below four fifths of the share
    assert ramp.admit(2_100_000, False) is None
    assert ramp.admit(2_100_000, False) is not None
    assert ramp.figures()["refused_further"] == 13
    assert ramp.figures()["refused_first"] == 1


def test_jobs_rejected_by_the_scheduler_do_not_count_as_overload():
    ramp = started_ramp()
    ramp.update(2_000_000)
    for _ in range(60):
        ramp.admit(2_000_000, False)
        ramp.record_outcome(2_000_000, REJECTED, 0)
    assert not ramp.limited


def test_limit_after_an_overload_is_lifted_after_a_second_without_rejections():
    ramp = overloaded_ramp()
    now = 2_100_000
    for step in range(40):
        now += 100_000
        while ramp.admit(now, True) is None:
            pass
        for _ in range(ramp.in_flight):
            ramp.record_outcome(now, COMPLETED, 100_000)
        assert ramp.limited, step
    now += 1_000_001
    assert ramp.admit(now, False) is None
    assert not ramp.limited


@given(
    st.lists(
        st.tuples(st.sampled_from(["first", "retry", COMPLETED, REJECTED, FAILED]), st.integers(0, 200_000)),
        max_size=300,
    ),
    st.integers(1, 64),
    st.integers(1, 8),
)
@settings(max_examples=200, deadline=None)
def test_admitted_jobs_never_exceed_the_limit_in_any_order_of_events(events, slots, dispatchers):
    ramp, now, in_flight = AdmissionRamp(3, 0, 10**12, 500_000), 0, 0
    ramp.resize(slots, dispatchers)
    ramp.start(0)
    for event, wait_us in events:
        now += wait_us
        if event in ("first", "retry"):
            was_limited, limit = ramp.limited, ramp.limit
            retry_after = ramp.admit(now, event == "retry")
            if retry_after is None:
                in_flight += 1
                assert not ramp.limited or in_flight <= limit + 1
            else:
                assert was_limited
                assert 0 < retry_after <= 500_000
        elif in_flight:
            in_flight -= 1
            ramp.record_outcome(now, event, wait_us)
        assert ramp.in_flight == in_flight
        assert ramp.limit <= 2 * ramp.full_limit()
        assert 0 < ramp.open_fraction() <= 1
