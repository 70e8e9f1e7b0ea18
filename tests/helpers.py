"""Builds the state that a test needs."""

from mastledge.balance import Balancer

STEP = 4_000


def queue_type(effect="restartable", **other):
    return {"target": 200_000, "walltime": 5_000_000, "effect": effect, "group": "zone", "window": 7_500_000,
            "utility": 1.0, "late_utility": 0.2, "kind": -1, "priority": 0, "stretch": 2.0, **other}


def balancer(types=None, workers=4, seed=7, **other):
    settings = {
        "dispatchers": 2, "me": 0, "zone": 0, "step": STEP, "follow": "pushed", "excess_utility": 0.2,
        "utility_basis": "work", "tells_start": True, "progress_every": 1_000_000, "queue_order": "fifo",
        "may_revoke": True, "may_probe": False, "may_hold_off": True, "most_hold_off": 2_000_000,
        "parallel": False, "launches": 5, "connect_timeout": 250_000, "cpu_a_second": 0, "cpu_a_job": 0,
        "conn_idle": 5_000_000, "answer_slack": 16_000, "ask_within": 10_000_000,
        "cold_from": 0.2, "cold_for": 10_000_000, "fall_for": 2_000_000, "fall_multiple": 2.5,
        "grace": 500_000, "report_how": "silent",
        "report_fields": [], "price_crossing": 0, "price_probe": 0, "price_waste": 0, "price_late": 0,
        "tenants": [], "queue_types": types or [queue_type()], **other}
    made = Balancer(settings, seed, 0)
    made.members(0, "whole", [entry(i) for i in range(workers)])
    return made


def entry(i, state="ready", born=0, zone=None):
    return (i % 2 if zone is None else zone, i, state, born, 0, 0, 1.0)


def arrive(made, now=0, job=1, qtype=0, hint=100_000, patience=5_000_000, width=1.0, tenant=0):
    made.arrived(now, job, qtype, hint, 0, width, 0.0, tenant, patience)


def pull(made, now):
    out = []
    while (decision := made.decide(now)) is not None:
        out.append(decision)
    return out
