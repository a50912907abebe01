#!/usr/bin/env bash
# Runs the standard benchmark days of the reference deployments with fixed seeds. A new
# version of the gateway must not score lower on any of these deployments.
#
#   BENCH=path/to/bench scripts/regression.sh DIR [full] [WHY]
#
# DIR holds the folders of the site files. By default the large deployment runs scaled down,
# which takes some minutes in all; full runs it at its own size, for use before a merge. Prints
# the output of scripts/days.sh for each site. JOBS days run in parallel.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$1 size=${2:-small} why=${3:-regression}
days='quiet-1 trouble-1 trouble-2 trouble-3 scale-1 scale-2'
run_site() { # run_site SITE [OPTION...]
  local site=$1
  shift
  echo "== $(basename "$site" .toml)"
  OPTIONS="$*" scripts/days.sh "$site" "$days" "${SEEDS:-1}" "$why"
}
if [ "$size" = full ]; then
  run_site "$dir/large/binday-prod-large.toml"
else
  run_site "$dir/large/binday-prod-large.toml" --small
fi
run_site "$dir/shifted/binday-prod-now-grown.toml"
run_site "$dir/further-grown/dzk-sparshore-grown.toml"
run_site "$dir/further/dzk-sparshore.toml"
