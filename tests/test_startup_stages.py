"""Tests of the startup stages, without processes."""

from mastledge.recovery.startup_stages import (
    DEGRADED_SERVICE,
    STAGE_ORDER,
    STAGE_TIMEOUT_US,
    StartupStage,
    StartupStages,
)

READING, LEASE, LIST, PEERS, RAMP, OPEN = STAGE_ORDER


def test_stages_pass_in_order_and_report_what_they_wait_for():
    stages = StartupStages(0, True)
    stages.report(READING, False, "its folder")
    assert stages.advance(1000) == READING
    assert stages.waiting_for() == "reading what lasts: its folder"
    for stage, next_stage in zip(STAGE_ORDER, STAGE_ORDER[1:], strict=False):
        assert not stages.may_serve() or stage == RAMP
        stages.report(stage, True)
        assert stages.advance(2000) == next_stage
    assert stages.advance(3000) == OPEN
    assert stages.waiting_for() == ""
    assert not stages.degraded
    assert stages.figures(3000)["took_ms"][READING.value] == 2


def test_stage_timeout_leads_to_degraded_service_except_without_a_lease():
    stages = StartupStages(0, True)
    assert stages.advance(STAGE_TIMEOUT_US[READING]) == LEASE
    assert stages.degraded == {READING: DEGRADED_SERVICE[READING]}
    lease_timeout_at = STAGE_TIMEOUT_US[READING] + STAGE_TIMEOUT_US[LEASE]
    assert stages.advance(lease_timeout_at + 60_000_000) == LEASE
    assert not stages.may_serve()
    assert DEGRADED_SERVICE[LEASE] in stages.figures(lease_timeout_at)["lesser_service"]
    stages.report(LEASE, True)
    stages.report(READING, True)  # the disk answers after the timeout
    now = lease_timeout_at + 60_000_000
    assert stages.advance(now) == LIST
    assert not stages.degraded
    assert stages.advance(now + STAGE_TIMEOUT_US[LIST]) == PEERS
    assert stages.advance(now + STAGE_TIMEOUT_US[LIST] + STAGE_TIMEOUT_US[PEERS]) == RAMP
    assert stages.may_serve()
    # A dispatcher without a fleet needs no lease.
    assert StartupStages(0, False).advance(STAGE_TIMEOUT_US[READING]) == LIST


def test_stage_texts_for_operators_and_the_log_are_stable():
    texts = ["reading what lasts", "agreeing", "hearing the list", "taking over", "opening", "open"]
    assert [stage.value for stage in StartupStage] == texts
