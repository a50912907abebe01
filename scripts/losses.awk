# Counts the generations of a played day by what became of them, from the logs of all
# entries. pause is the longest pause between events, in ms, that callers take as in time.

# text returns the value of a field of a log line, without quotes; "" if it is absent.
function text(name,    rest, at) {
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

# ms returns a duration as it is logged ("1.2s", "30.9ms", "2m3s") in milliseconds.
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
  id = text("request")
  if (!(id in kind)) {
    kind[id] = text("most-output") + 0 > 64 ? "long" : "brief"
    asked[kind[id]]++
  }
}
/"msg":"stream-starts-late"/ {
  id = text("request")
  late[id] = text("crowded") != "true" ? "not explained" : text("reading") != "" && ms(text("reading")) > ms(text("after")) / 2 ? "behind prompts" : "behind memory"
}
/"msg":"stream-moved"/ {
  id = text("request"); moved[id]++
  if (ms(text("gap")) > pause) slow[id] = 1
}
/"msg":"upstream-suspected"/ { suspected[text("upstream")] = 1 }
/"msg":"request-refused"/ { id = text("request"); refused[text("reason")]++; over[id] = 1 }
/"msg":"stream-cut"/ { id = text("request"); if (id in kind) { n[kind[id] ", cut: " text("why")]++; over[id] = 1 } }
/"msg":"caller-gone"/ { id = text("request"); if (id in kind) { n[kind[id] ", caller left while " text("while")]++; over[id] = 1 } }
/"msg":"request-ended"/ && /"first-in"/ {
  id = text("request")
  if (!(id in kind)) next
  over[id] = 1
  if (id in late) { n[kind[id] ", late start " late[id]]++; next }
  if (ms(text("longest-pause")) > pause) {
    n[kind[id] ", paused " (id in slow ? "at a move" : id in moved ? "after a move" : text("pause-at") + 0 <= 2 ? "after the first event" : "later")]++
    next
  }
  n[kind[id] ", in time"]++
}
END {
  for (id in kind) if (!(id in over)) n[kind[id] ", ended with its entry"]++
  for (why in refused) n["refused: " why] = refused[why]
  for (u in suspected) suspects++
  printf "%6d generations sent, long\n%6d generations sent, brief\n%6d upstreams suspected\n", asked["long"], asked["brief"], suspects
  for (what in n) printf "%6d %s\n", n[what], what | "sort -k2"
}
