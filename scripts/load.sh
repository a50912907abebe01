#!/usr/bin/env bash
# Plays the quiet day of an installation with the traffic of the engines multiplied,
# and prints a table over the load: worth, and for each kind of generation what was
# asked, in time, late, refused and failed; preemptions and tokens read in vain.
#
#   BENCH=path/to/bench scripts/load.sh SITE 'LOAD ...' 'SEED ...' [WHY] [EXTRA]
#
# EXTRA are lines for the list of faults of the day, for loads beside other troubles.
# Rows are means over the seeds. JOBS days are played at once.
set -euo pipefail
site=$1 loads=$2 seeds=$3 why=${4:-load curve} extra=${5:-}
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# day LOAD prints the quiet day with the rates of generations multiplied.
day() {
  awk -v x="$1" -v extra="$extra" -f scripts/loadday.awk "$site" >"$out/load-$1.toml"
}

"$bench" build >/dev/null
for x in $loads; do
  day "$x"
  for seed in $seeds; do printf '%s %s\n' "$x" "$seed"; done
done >"$out/plays"
xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$1" "$3/load-$4.toml" --seed "$5" --no-cpu --why "$2" >"$3/$4-$5.txt" 2>&1 || true' "$bench" "$site" "$why" "$out" <"$out/plays"
for x in $loads; do
  for seed in $seeds; do
    sed "s/^/$x $seed /" "$out/$x-$seed.txt"
  done
done | awk '
  $3 ~ /^load-/ { n[$1]++; worth[$1] += $6; refused[$1] += $8; failed[$1] += $9; if (/BROKEN|FAULT/) print "broken or faulty at load " $1 ", seed " $2 }
  $3 ~ /^clients/ || $3 == "from" { classes = 0 }
  $3 == "class" { classes = 1; next }
  classes && NF >= 9 && $4 + 0 > 0 { k = $1 SUBSEP $3; if (!(k in seen)) { seen[k] = 1; names[$1] = names[$1] " " $3 }; asked[k] += $4; aim[k] += $5; late[k] += $6; ref[k] += $7; fail[k] += $8 }
  /requests preempted/ { match($0, /[0-9]+ requests preempted/); pre[$1] += substr($0, RSTART) }
  /prefilled for nothing/ { waste[$1] += $4 }
  { if (!($1 in order)) { order[$1] = ++loads; at[loads] = $1 } }
  END {
    for (i = 1; i <= loads; i++) {
      x = at[i]
      if (!n[x]) { print "load " x ": not played"; continue }
      printf "load %-4s worth %.3f  refused %.3f  failed %.3f  preempted %.0f  1,000 tokens read in vain %.0f\n", x, worth[x] / n[x], refused[x] / n[x], failed[x] / n[x], pre[x] / n[x], waste[x] / n[x]
      m = split(names[x], list, " ")
      for (j = 1; j <= m; j++) { k = x SUBSEP list[j]; printf "  %-16s asked %5.0f  in aim %5.0f  late %4.0f  refused %4.0f  failed %4.0f\n", list[j], asked[k] / n[x], aim[k] / n[x], late[k] / n[x], ref[k] / n[x], fail[k] / n[x] }
    }
  }'
