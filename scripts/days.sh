#!/usr/bin/env bash
# Runs the same benchmark days of a site with the same seeds each time, so that two
# versions of the gateway can be compared.
#
#   BENCH=path/to/bench scripts/days.sh SITE 'DAY ...' 'SEED ...' [WHY]
#
# Prints a line for each day and seed with the causes of its lost worth (the score of the
# bench), then the mean worth of each day and of all days. Broken rules are printed with their
# details. JOBS days run in parallel; OPTIONS are passed to the bench, for example --small.
set -euo pipefail
site=$1 days=$2 seeds=$3 why=${4:-compare versions}
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >/dev/null
for day in $days; do
  for seed in $seeds; do printf '%s %s\n' "$day" "$seed"; done
done | xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$1" "$4" --seed "$5" --no-cpu ${OPTIONS:-} --why "$2" >"$3/$4-$5.txt" 2>&1 || true' "$bench" "$site" "$why" "$out"
for f in "$out"/*.txt; do
  name=$(basename "$f" .txt)
  grep -A1 '^day ' "$f" | tail -1 | sed "s/^[^ ]*/$name/"
  grep -A6 -h '^rules broken' "$f" || true
  awk -v name="$name" '
    /requests preempted/ { match($0, /[0-9]+ requests preempted/); preempted = substr($0, RSTART) + 0 }
    /prefilled for nothing/ { wasted = $2 }
    /worth refused again/ { refused_again = $1 }
    / worst windows/ && /^worth/ { match($0, /worst windows [0-9.]+/); windows = substr($0, RSTART + 14, RLENGTH - 14) }
    END { print "causes " name ": preempted " preempted + 0 ", 1,000 tokens prefilled unused " wasted + 0 ", refused again " refused_again + 0 ", windows " windows + 0 }' "$f"
done | tee "$out/all"
awk '$2 ~ /^[0-9]+\/[0-9]+$/ {day=$1; sub(/-[0-9]+$/, "", day); runs[day]++; worth[day]+=$4; all_runs++; all_worth+=$4; served+=$5}
  /BROKEN/ {broken++}
  $1 == "causes" {preempted += $4; wasted += $9; refused_again += $12; windows += $14}
  END {printf "causes per day   preempted %.1f, 1,000 tokens prefilled unused %.1f, refused again %.4f, windows %.3f\n", preempted/all_runs, wasted/all_runs, refused_again/all_runs, windows/all_runs; for (day in runs) printf "mean %-12s %.3f\n", day, worth[day]/runs[day]; printf "mean of all   %.3f  served %.3f  days %d  broken %d\n", all_worth/all_runs, served/all_runs, all_runs, broken}' "$out/all" | sort
