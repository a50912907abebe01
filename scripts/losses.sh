#!/usr/bin/env bash
# Runs benchmark days of a site with the logs of all entries and prints for each day why
# it lost worth (the score of the bench): the losses that the bench reports, and the number
# of generations for each cause of a refusal, late start, pause or cut.
#
#   BENCH=path/to/bench scripts/losses.sh SITE 'DAY ...' 'SEED ...' [WHY]
#
# Long generations (maximum output above 64 tokens) and brief ones are counted separately.
# A retry of a refused generation counts as another generation. JOBS days run in parallel.
set -euo pipefail
site=$1 days=$2 seeds=$3 why=${4:-losses by cause}
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
max_gap=$(grep -o 'gap_aim_ms = [0-9.]*' "$site" | head -1 | awk '{ print $3 }')
"$bench" build >/dev/null
for day in $days; do
  for seed in $seeds; do printf '%s %s\n' "$day" "$seed"; done
done >"$out/runs"
xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$1" "$4" --seed "$5" --no-cpu --log all --why "$2" >"$3/$4-$5.log" 2>&1 || true' "$bench" "$site" "$why" "$out" <"$out/runs"
while read -r day seed; do
  echo "== $day, seed $seed"
  grep -A1 '^day ' "$out/$day-$seed.log" | tail -1
  grep -A9 -h '^rules broken' "$out/$day-$seed.log" || true
  grep '^worth .* = ' "$out/$day-$seed.log"
  grep -E '^  -0[0-9.]+ ' "$out/$day-$seed.log" | awk '!/[{]/ && $1 <= -0.001'
  grep -E 'requests preempted' "$out/$day-$seed.log" | sed 's/^- //'
  awk -v max_gap="${max_gap:-180}" -f scripts/losses.awk "$out/$day-$seed.log"
done <"$out/runs"
