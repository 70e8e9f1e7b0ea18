"""The stages of a start; no process."""

from mastledge.recovery.startup_stages import (
    DEGRADED_SERVICE,
    STAGE_ORDER,
    STAGE_TIMEOUT_US,
    StartupStage,
    StartupStages,
)

READING, LEASE, LIST, PEERS, RAMP, OPEN = STAGE_ORDER


def test_stages_go_on_one_by_one_and_say_what_they_wait_for():
    stages = StartupStages(0, True)
    stages.report(READING, False, "its folder")
    assert stages.advance(1000) == READING
    assert stages.waiting_for() == "reading what lasts: its folder"
    for stage, after in zip(STAGE_ORDER, STAGE_ORDER[1:], strict=False):
        assert not stages.may_serve() or stage == RAMP
        stages.report(stage, True)
        assert stages.advance(2000) == after
    assert stages.advance(3000) == OPEN
    assert stages.waiting_for() == ""
    assert not stages.degraded
    assert stages.figures(3000)["took_ms"][READING.value] == 2


def test_a_stage_in_vain_leads_to_a_stated_degraded_service_but_no_lease_is_no_service():
    stages = StartupStages(0, True)
    assert stages.advance(STAGE_TIMEOUT_US[READING]) == LEASE
    assert stages.degraded == {READING: DEGRADED_SERVICE[READING]}
    late = STAGE_TIMEOUT_US[READING] + STAGE_TIMEOUT_US[LEASE]
    assert stages.advance(late + 60_000_000) == LEASE
    assert not stages.may_serve()
    assert DEGRADED_SERVICE[LEASE] in stages.figures(late)["lesser_service"]
    stages.report(LEASE, True)
    stages.report(READING, True)  # the disk has answered after all
    now = late + 60_000_000
    assert stages.advance(now) == LIST
    assert not stages.degraded
    assert stages.advance(now + STAGE_TIMEOUT_US[LIST]) == PEERS
    assert stages.advance(now + STAGE_TIMEOUT_US[LIST] + STAGE_TIMEOUT_US[PEERS]) == RAMP
    assert stages.may_serve()
    # One alone needs no lease.
    assert StartupStages(0, False).advance(STAGE_TIMEOUT_US[READING]) == LIST


def test_the_texts_that_operators_and_the_log_are_shown_stay():
    texts = ["reading what lasts", "agreeing", "hearing the list", "taking over", "opening", "open"]
    assert [stage.value for stage in StartupStage] == texts
