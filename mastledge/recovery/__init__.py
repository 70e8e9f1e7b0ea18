"""Decisions of a start after most is lost: restored state, stages, admission, snapshots. No I/O."""
