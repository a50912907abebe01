#!/usr/bin/env bash
# Demo: runs a complete deployment of two zones as separate processes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."

run=$(mktemp -d)
pids=()
stop_all() {
  status=$?
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then echo "demo: failed, logs in $run" >&2; else rm -rf "$run"; fi
}
trap stop_all EXIT

step() { printf '\n== %s\n' "$*"; }
start() { # start NAME PROGRAM ARGS...: runs a program in the background and records its pid
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids+=("$!")
  printf '%s' "$!" >"$run/$name.pid"
}
wait_for() { # wait_for URL: retries for about 10 s until the request succeeds
  for _ in $(seq 200); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "no answer from $1" >&2
  return 1
}

platform=127.0.0.1:7800
stores=(--table-url "http://$platform" --objects-url "http://$platform" --vms-url "http://$platform" --stop-within 5s)
token=demo-operator
export SPARSHORE_TOKEN=$token SPARSHORE_SERVER=http://127.0.0.1:7501
operators="demo=$(bin/sparshorectl hash-key $token)"
export SPARSHORE_OPERATORS=$operators

add_vm() { # add_vm NAME ZONE ADDRESS: adds a VM to the list of the platform
  curl -fsS -X PUT -d "{\"name\":\"$1\",\"zone\":\"$2\",\"address\":\"$3\",\"state\":\"live\"}" "http://$platform/control/vms"
}
entry() { # entry NAME ZONE NUMBER
  start "$1" bin/sparshored entry --name "$1" --zone "$2" --peer-listen "127.0.0.1:76$3" --http-listen "127.0.0.1:75$3" "${stores[@]}"
  add_vm "$1" "$2" "127.0.0.1:76$3"
}
sidecar() { # sidecar NAME ZONE NUMBER URL
  start "sidecar-$1" bin/sparshored sidecar --name "sidecar-$1" --zone "$2" --upstream "$1" --upstream-url "$4" \
    --peer-listen "127.0.0.1:76$3" --http-listen "127.0.0.1:75$3" "${stores[@]}"
  add_vm "sidecar-$1" "$2" "127.0.0.1:76$3"
}

step "start the platform stand-in, three engines and one plain service"
start platform bin/sparshore-standin platform --listen $platform
wait_for "http://$platform/v1/vms"
for n in 1 2 3; do start "eng-$n" bin/sparshore-standin engine --listen "127.0.0.1:771$n" --seed "$n"; done
start led-1 bin/sparshore-standin service --listen 127.0.0.1:7720

step "start two entries and four sidecars in zones a and b"
entry entry-a a 01
entry entry-b b 02
sidecar eng-1 a 11 http://127.0.0.1:7711
sidecar eng-2 a 12 http://127.0.0.1:7712
sidecar eng-3 b 13 http://127.0.0.1:7713
sidecar led-1 b 14 http://127.0.0.1:7720
for port in 7501 7502 7511 7512 7513 7514; do wait_for "http://127.0.0.1:$port/livez"; done

step "apply a configuration"
bin/sparshorectl config check examples/demo.yaml
bin/sparshorectl config apply examples/demo.yaml
for port in 7501 7502 7511 7512 7513 7514; do wait_for "http://127.0.0.1:$port/readyz"; done
sleep 1
bin/sparshorectl status

step "stream an answer"
curl -fsSN -D "$run/headers" http://127.0.0.1:7501/v1/chat/completions -H "Authorization: Bearer demo-key" \
  -d '{"model":"bins","stream":true,"messages":[{"role":"user","content":"Which bin goes out this week? out=12"}]}' | tee "$run/answer"
grep -q '^data: \[DONE\]' "$run/answer"
request=$(tr -d '\r' <"$run/headers" | awk 'tolower($1) == "x-request-id:" {print $2}')

step "send a call that must not run twice, two times with one idempotency key"
key=$(python3 -c 'import os,time;t=int(time.time()*1000);r=os.urandom(10).hex();print("%s-%s-7%s-8%s-%s"%(format(t,"012x")[:8],format(t,"012x")[8:],r[:3],r[3:6],r[6:18]))' 2>/dev/null || echo demo-tally-1)
for _ in 1 2; do
  curl -fsS -D - http://127.0.0.1:7502/services/ledger/tallies -H "Authorization: Bearer demo-key" -H "Idempotency-Key: $key" \
    -d '{"row":17,"bins":4}' | grep -i -E 'outcome|tallies'
done
runs=$(curl -fsS http://127.0.0.1:7720/control/runs)
echo "runs at the service: $runs"
case $runs in *":1}"*) ;; *) echo "the call did not run exactly once" >&2; exit 1 ;; esac

step "show the timeline of the streamed request"
bin/sparshorectl timeline --request "$request"

step "kill an entry during streams and resume them through the other entry"
bin/sparshorectl load --url http://127.0.0.1:7501 --url http://127.0.0.1:7502 --key demo-key --model bins \
  --requests 6 --rate 20 --output-tokens 150 --spread 0 --resume >"$run/load" &
load=$!
sleep 1.5
kill -KILL "$(cat "$run/entry-a.pid")"
wait $load
cat "$run/load"
grep -q '^whole  *6' "$run/load"
grep -q '^breaches  *0' "$run/load"
if grep -q '^resumed  *0' "$run/load"; then echo "no stream was resumed" >&2; exit 1; fi

step "stop all processes"
trap - EXIT
stop_all
echo "demo: ok"
