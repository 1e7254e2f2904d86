#!/usr/bin/env bash
# Scores the regression sites with the users' bench: the newest milestones, and the large site instead of the two oldest.
# Usage: bench/regression.sh BENCH SITES WHY    BENCH: the users' program; SITES: the folder of their site files.
set -euo pipefail
cd "$(dirname "$0")/.."
[ $# -eq 3 ] || { sed -n 3p "$0" >&2; exit 2; }
bench=$1 sites=$2 why=$3
for site in large/afa-tryk-large grown/afa-tryk-grown grown/ksp-quetzal-grown further-grown/kayal-ice-grown \
  further/kayal-ice; do
  "$bench" score "$sites/$site.toml" --why "$why" | grep -E "^score|^GATE|BROKEN"
done
