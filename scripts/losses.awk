# Counts the generations of a benchmark day by outcome, from the logs of all entries.
# max_gap is the longest pause between two events, in ms, that still counts as in time.

# field returns the value of a field of a log line without quotes, or "" if it is absent.
function field(name,    rest, at) {
  at = index($0, "\"" name "\":")
  if (!at) return ""
  rest = substr($0, at + length(name) + 3)
  if (substr(rest, 1, 1) == "\"") {
    rest = substr(rest, 2)
    return substr(rest, 1, index(rest, "\"") - 1)
  }
  match(rest, /^[^,}]*/)
  return substr(rest, 1, RLENGTH)
}

# ms converts a logged duration ("1.2s", "30.9ms", "2m3s") to milliseconds.
function ms(s,    sum, unit, n) {
  sum = 0
  while (match(s, /^[0-9.]+(ms|µs|ns|h|m|s)/)) {
    n = substr(s, 1, RLENGTH) + 0
    unit = substr(s, 1, RLENGTH)
    gsub(/[0-9.]/, "", unit)
    s = substr(s, RLENGTH + 1)
    sum += n * (unit == "h" ? 3600000 : unit == "m" ? 60000 : unit == "s" ? 1000 : unit == "ms" ? 1 : 0.001)
  }
  return sum
}

/"msg":"request-routed"/ && /"most-output"/ {
  id = field("request")
  if (!(id in kind)) {
    kind[id] = field("most-output") + 0 > 64 ? "long" : "brief"
    sent[kind[id]]++
  }
}
/"msg":"stream-starts-late"/ {
  id = field("request")
  late[id] = field("crowded") != "true" ? "unexplained" : field("reading") != "" && ms(field("reading")) > ms(field("after")) / 2 ? "waiting for prompts" : "waiting for memory"
}
/"msg":"stream-moved"/ {
  id = field("request"); moved[id]++
  if (ms(field("gap")) > max_gap) slow_move[id] = 1
}
/"msg":"upstream-suspected"/ { suspected[field("upstream")] = 1 }
/"msg":"request-refused"/ { id = field("request"); refused[field("reason")]++; finished[id] = 1 }
/"msg":"stream-cut"/ { id = field("request"); if (id in kind) { count[kind[id] ", cut: " field("why")]++; finished[id] = 1 } }
/"msg":"caller-gone"/ { id = field("request"); if (id in kind) { count[kind[id] ", caller left while " field("while")]++; finished[id] = 1 } }
/"msg":"request-ended"/ && /"first-in"/ {
  id = field("request")
  if (!(id in kind)) next
  finished[id] = 1
  if (id in late) { count[kind[id] ", late start " late[id]]++; next }
  if (ms(field("longest-pause")) > max_gap) {
    count[kind[id] ", paused " (id in slow_move ? "during a move" : id in moved ? "after a move" : field("pause-at") + 0 <= 2 ? "after the first event" : "later")]++
    next
  }
  count[kind[id] ", in time"]++
}
END {
  for (id in kind) if (!(id in finished)) count[kind[id] ", no end logged by its entry"]++
  for (reason in refused) count["refused: " reason] = refused[reason]
  for (upstream in suspected) suspects++
  printf "%6d generations sent, long\n%6d generations sent, brief\n%6d upstreams suspected\n", sent["long"], sent["brief"], suspects
  for (outcome in count) printf "%6d %s\n", count[outcome], outcome | "sort -k2"
}
