#!/bin/sh
# Builds what cases 4 to 6 need after the build of the deploy file: what dispatchers with `peers` and `repeats` import
# (requirements-fleet.txt of this project). The stand-ins in common-2 need nothing but Python's own library.
set -e
cd "$(dirname "$0")/.."
.venv/bin/pip install -q -r requirements-fleet.txt
.venv/bin/python -B -c 'import msgspec, sys; sys.path.insert(0, "review/common-2"); import stand_ins'
