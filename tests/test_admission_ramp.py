"""How many jobs may be in flight after a start and in an overload; no process."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mastledge.recovery.admission_ramp import AdmissionRamp, AdmittedJobOutcome, LimitReason, PeerLoad

COMPLETED, REJECTED, FAILED = AdmittedJobOutcome


def ramp(slots=16.0, dispatchers=2, bound=5_000_000):
    made = AdmissionRamp(7, 0, bound, 1_000_000)
    made.resize(slots, dispatchers)
    made.start(0)
    return made


def test_the_limit_begins_at_half_the_share_and_is_lifted_by_what_completes():
    made = ramp()
    let = [made.admit(0, False) for _ in range(6)]
    assert let[:4] == [None] * 4
    assert all(0 < wait <= 1_000_000 for wait in let[4:])
    held, now = 4, 0
    while made.limited:
        now += 100_000
        assert held <= made.full_limit() + 1
        for _ in range(held):
            made.record_outcome(now, COMPLETED, 100_000)
        held = 0
        while held < 100 and made.admit(now, False) is None:
            held += 1
    assert now <= 500_000
    assert made.admit(now, False) is None
    assert made.open_fraction() == 1.0


def test_a_start_is_over_after_its_bound_or_when_nothing_was_short_for_a_second():
    made = ramp()
    made.update(999_999)
    assert made.limited
    made.update(1_000_000)
    assert not made.limited
    made = ramp()
    for now in range(0, 5_000_000, 100_000):
        made.admit(now, False)
    assert made.limited
    made.update(5_000_000)
    assert not made.limited


def test_what_goes_before_a_start_may_serve_lifts_no_limit():
    made = AdmissionRamp(7, 0, 5_000_000, 1_000_000)
    made.resize(16, 2)
    made.update(60_000_000)  # a minute without a majority
    assert made.limited
    made.start(60_000_000)
    made.update(60_500_000)
    assert made.limited
    assert made.admit(60_500_000, True) is None
    made.update(61_000_000)
    assert not made.limited


def test_a_fleet_that_serves_lets_one_more_take_as_much_as_the_others():
    made = ramp(slots=160, dispatchers=20)
    assert made.limit == 4
    made.use_peer_loads([PeerLoad(9, True), PeerLoad(11, True), PeerLoad(0, False)])
    assert made.limit > 8
    alone = ramp(slots=160, dispatchers=20)
    alone.use_peer_loads([PeerLoad(9, True), PeerLoad(0, False), PeerLoad(0, False)])
    assert alone.limit == 4  # most have just started as well: nobody knows


def overloaded():
    made = ramp()
    made.update(2_000_000)
    for _ in range(30):
        assert made.admit(2_000_000, False) is None
    for _ in range(30):
        made.record_outcome(2_100_000, FAILED, 100_000)
    return made


def test_work_that_comes_to_nothing_limits_again_and_first_attempts_go_first():
    made = overloaded()
    assert made.limited
    assert made.reason == LimitReason.OVERLOAD
    assert made.limit == made.slot_share == 8
    retries = sum(made.admit(2_100_000, True) is None for _ in range(20))
    assert retries == 7  # less than four fifths of its share in flight
    assert made.admit(2_100_000, False) is None
    assert made.admit(2_100_000, False) is not None
    assert made.figures()["refused_further"] == 13
    assert made.figures()["refused_first"] == 1


def test_what_the_decisions_reject_limits_nothing():
    made = ramp()
    made.update(2_000_000)
    for _ in range(60):
        made.admit(2_000_000, False)
        made.record_outcome(2_000_000, REJECTED, 0)
    assert not made.limited


def test_the_limit_is_lifted_once_nothing_was_rejected_for_a_second_and_not_before():
    made = overloaded()
    now = 2_100_000
    for n in range(40):
        now += 100_000
        while made.admit(now, True) is None:
            pass
        for _ in range(made.in_flight):
            made.record_outcome(now, COMPLETED, 100_000)
        assert made.limited, n
    now += 1_000_001
    assert made.admit(now, False) is None
    assert not made.limited


@given(
    st.lists(
        st.tuples(st.sampled_from(["first", "retry", COMPLETED, REJECTED, FAILED]), st.integers(0, 200_000)),
        max_size=300,
    ),
    st.integers(1, 64),
    st.integers(1, 8),
)
@settings(max_examples=200, deadline=None)
def test_no_order_of_events_admits_more_than_the_limit(events, slots, dispatchers):
    made, now, held = AdmissionRamp(3, 0, 10**12, 500_000), 0, 0
    made.resize(slots, dispatchers)
    made.start(0)
    for what, wait in events:
        now += wait
        if what in ("first", "retry"):
            was_limited, limit = made.limited, made.limit
            retry_after = made.admit(now, what == "retry")
            if retry_after is None:
                held += 1
                assert not made.limited or held <= limit + 1
            else:
                assert was_limited
                assert 0 < retry_after <= 500_000
        elif held:
            held -= 1
            made.record_outcome(now, what, wait)
        assert made.in_flight == held
        assert made.limit <= 2 * made.full_limit()
        assert 0 < made.open_fraction() <= 1
