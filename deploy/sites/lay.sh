#!/usr/bin/env bash
# Lays beside these sites what the bench wants there, from the operators' kit: bash deploy/sites/lay.sh [KIT]
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
kit="${1:-$here/../../../given/kit}"
for name in real.json wire.json unlock.txt; do
    if [ ! -f "$kit/more/mass/other/$name" ]; then
        echo "lay.sh: no $name in $kit/more/mass/other" >&2
        exit 2
    fi
done
for name in real.json wire.json unlock.txt; do
    install -m 644 "$kit/more/mass/other/$name" "$here/$name"
done
