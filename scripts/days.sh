#!/usr/bin/env bash
# Plays the same days of an installation with the same seeds again and again, so
# that two versions of the product can be compared.
#
#   BENCH=path/to/bench scripts/days.sh SITE 'DAY ...' 'SEED ...' [WHY]
#
# prints a line for each day and seed, then the mean worth of each day and of
# all. Broken rules are printed with the lines that tell of them. JOBS days are
# played at once; OPTIONS are passed on to the bench, as --small.
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
done | tee "$out/all"
awk '$2 ~ /^[0-9]+\/[0-9]+$/ {d=$1; sub(/-[0-9]+$/, "", d); n[d]++; w[d]+=$4; N++; W+=$4; S+=$5}
  /BROKEN/ {b++}
  END {for (d in n) printf "mean %-12s %.3f\n", d, w[d]/n[d]; printf "mean of all   %.3f  served %.3f  days %d  broken %d\n", W/N, S/N, N, b}' "$out/all" | sort
