#!/usr/bin/env bash
# Plays the standard days of the deployments that a version must not serve worse, on the
# same seeds each time.
#
#   BENCH=path/to/bench scripts/regression.sh DIR [full] [WHY]
#
# DIR holds the folders of the site files. Without full the large deployment is played as
# small twins (minutes in all); with it at its own size, as before a landing. Prints the
# lines and means of scripts/days.sh for each site. JOBS days are played at once.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$1 size=${2:-small} why=${3:-regression}
days='quiet-1 trouble-1 trouble-2 trouble-3 scale-1 scale-2'
play() { # play SITE [OPTION...]
  local site=$1
  shift
  echo "== $(basename "$site" .toml)"
  OPTIONS="$*" scripts/days.sh "$site" "$days" "${SEEDS:-1}" "$why"
}
if [ "$size" = full ]; then
  play "$dir/large/binday-prod-large.toml"
else
  play "$dir/large/binday-prod-large.toml" --small
fi
play "$dir/shifted/binday-prod-now-grown.toml"
play "$dir/further-grown/dzk-sparshore-grown.toml"
play "$dir/further/dzk-sparshore.toml"
