#!/usr/bin/env bash
# Runs the quiet day of a site with the engine traffic multiplied by each load factor.
# Prints for each factor the worth (the score of the bench), the preemptions and the prefilled
# tokens that went unused, and per class the requests sent, in time, late, refused and failed.
#
#   BENCH=path/to/bench scripts/load.sh SITE 'LOAD ...' 'SEED ...' [WHY] [EXTRA]
#
# EXTRA holds entries for the fault list of the day, to combine the load with other faults.
# Rows are means over the seeds. JOBS days run in parallel.
set -euo pipefail
site=$1 loads=$2 seeds=$3 why=${4:-load curve} extra=${5:-}
bench=${BENCH:?set BENCH to the bench program}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# write_day LOAD writes the quiet day with the rates of generations multiplied by LOAD.
write_day() {
  awk -v x="$1" -v extra="$extra" -f scripts/loadday.awk "$site" >"$out/load-$1.toml"
}

"$bench" build >/dev/null
for x in $loads; do
  write_day "$x"
  for seed in $seeds; do printf '%s %s\n' "$x" "$seed"; done
done >"$out/runs"
xargs -P "${JOBS:-4}" -L 1 bash -c '"$0" run "$1" "$3/load-$4.toml" --seed "$5" --no-cpu --why "$2" >"$3/$4-$5.txt" 2>&1 || true' "$bench" "$site" "$why" "$out" <"$out/runs"
for x in $loads; do
  for seed in $seeds; do
    sed "s/^/$x $seed /" "$out/$x-$seed.txt"
  done
done | awk '
  $3 ~ /^load-/ { runs[$1]++; worth[$1] += $6; refused[$1] += $8; failed[$1] += $9; if (/BROKEN|FAULT/) print "broken or faulty at load " $1 ", seed " $2 }
  $3 ~ /^clients/ || $3 == "from" { in_classes = 0 }
  $3 == "class" { in_classes = 1; next }
  in_classes && NF >= 9 && $4 + 0 > 0 { k = $1 SUBSEP $3; if (!(k in seen)) { seen[k] = 1; names[$1] = names[$1] " " $3 }; sent[k] += $4; in_time[k] += $5; late[k] += $6; class_refused[k] += $7; class_failed[k] += $8 }
  /requests preempted/ { match($0, /[0-9]+ requests preempted/); preempted[$1] += substr($0, RSTART) }
  /prefilled for nothing/ { wasted[$1] += $4 }
  { if (!($1 in seen_load)) { seen_load[$1] = ++loads; load_at[loads] = $1 } }
  END {
    for (i = 1; i <= loads; i++) {
      x = load_at[i]
      if (!runs[x]) { print "load " x ": no result"; continue }
      printf "load %-4s worth %.3f  refused %.3f  failed %.3f  preempted %.0f  1,000 tokens prefilled unused %.0f\n", x, worth[x] / runs[x], refused[x] / runs[x], failed[x] / runs[x], preempted[x] / runs[x], wasted[x] / runs[x]
      m = split(names[x], list, " ")
      for (j = 1; j <= m; j++) { k = x SUBSEP list[j]; printf "  %-16s sent %5.0f  in time %5.0f  late %4.0f  refused %4.0f  failed %4.0f\n", list[j], sent[k] / runs[x], in_time[k] / runs[x], late[k] / runs[x], class_refused[k] / runs[x], class_failed[k] / runs[x] }
    }
  }'
