#!/usr/bin/env bash
# Makes up three deployments out of a site file and plays some of its days there, to
# see that nothing is fitted to the ones at hand: few engines and half of the
# generations; slow engines with twice the memory and longer objectives; long prompt
# parts that requests share.
#
#   BENCH=path/to/bench scripts/deployments.sh SITE 'DAY ...' 'SEED ...'
#
# prints the mean worth and the part refused of each deployment and day, and any broken
# rule. JOBS days are played at once.
set -euo pipefail
site=$1 days=$2 seeds=$3
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
cp "$(dirname "$site")/wire.json" "$out/"

# make NAME SED-SCRIPT writes a site file.
make() { sed -e "0,/^name = .*/s//name = \"made-$1\"/" -e "$2" "$site" >"$out/$1.toml"; }

make few '/class = "side"/s/count = 6/count = 3/; /model = "llm"/s/count = 6/count = 3/g
  s/grid-draft = 6.91, clue-check = 9.69/grid-draft = 3.4, clue-check = 4.8/
  s/per_s = 18.8/per_s = 16.2/; s/per_s = 15.0/per_s = 13/; s/per_s = 19.9/per_s = 17.1/'
make slow 's/step_ms = 7.0/step_ms = 14.0/; s/prefill_tokens_per_ms = 14.0/prefill_tokens_per_ms = 9.0/; s/kv_tokens = 34287/kv_tokens = 70000/
  s/aim_ms = 1800.0/aim_ms = 4000.0/; s/aim_ms = 1500.0/aim_ms = 3000.0/; s/gap_aim_ms = 180.0/gap_aim_ms = 400.0/g'
make shared 's/mean = 47.5, spread = 0.4, max = 76.0/mean = 1400.0, spread = 0.3, max = 2000.0/
  s/mean = 210.0, spread = 0.4, max = 336.0/mean = 900.0, spread = 0.3, max = 1400.0/'

"$bench" build >/dev/null
for name in few slow shared; do
  if cmp -s "$site" "$out/$name.toml"; then
    echo "$name: the site file has another form" >&2
    exit 1
  fi
  for day in $days; do
    for seed in $seeds; do printf '%s %s %s\n' "$name" "$day" "$seed"; done
  done
done | xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$1/$2.toml" "$3" --seed "$4" --no-cpu --why "made-up deployment $2" >"$1/$2+$3+$4.txt" 2>&1 || true' "$bench" "$out"
for f in "$out"/*+*.txt; do
  name=$(basename "$f" .txt)
  grep -A1 '^day ' "$f" | tail -1 | sed "s/^[^ ]*/${name%+*}/"
  grep -A4 -h '^rules broken' "$f" || true
done | awk '/^rules broken/ {print; next} $2 ~ /^[0-9]+\/[0-9]+$/ {n[$1]++; w[$1] += $4; r[$1] += $6} END {for (k in n) printf "%-20s worth %.3f  refused %.3f\n", k, w[k] / n[k], r[k] / n[k]}' | sort
