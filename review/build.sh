#!/bin/sh
# Build all stand-ins of the review: they are Python with the standard library only, run by the .venv that
# the deploy file's build makes. Case 1 uses `repeats`, for which the project's own
# requirements-fleet.txt is needed beside requirements.txt; it is installed here if it is not there yet.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c 'import msgspec' 2>/dev/null || .venv/bin/pip -q install -r requirements-fleet.txt
.venv/bin/python -m compileall -q review/common review/[0-9]*
