package events

// ID is the number of an event kind. The number of a removed kind is never reused.
type ID int

// The event kinds. docs/EVENTS.md lists them for operators, and a test compares that page with the catalogue.
const (
	ProcessStarted      ID = 100
	ProcessStopping     ID = 101
	ProcessStopped      ID = 102
	SettingsReread      ID = 103
	LinesDropped        ID = 104
	PeerConnected       ID = 110
	PeerLost            ID = 111
	PeerLeaving         ID = 112
	PeerSuspected       ID = 113
	VMListFailed        ID = 114
	UpstreamJoined      ID = 120
	UpstreamBack        ID = 121
	UpstreamLeaving     ID = 122
	UpstreamLapsed      ID = 123
	UpstreamGone        ID = 124
	UpstreamAvoided     ID = 125
	UpstreamRejected    ID = 126
	UpstreamAsked       ID = 127
	UpstreamSuspected   ID = 128
	AnswerEndChecked    ID = 129
	EntryHeard          ID = 130
	EntrySilent         ID = 131
	GossipRejected      ID = 132
	ZoneClosed          ID = 133
	ZoneOpened          ID = 134
	UpstreamRestarted   ID = 135
	UpstreamOldNews     ID = 136
	UpstreamHeld        ID = 137
	UpstreamReleased    ID = 138
	NewsNotPassedOn     ID = 139
	LimitNamed          ID = 140
	LimitOver           ID = 141
	LimitRejected       ID = 142
	LimitGranter        ID = 143
	LimitReached        ID = 144
	LimitNoAnswer       ID = 145
	UpstreamNotice      ID = 146
	RetriesUsedUp       ID = 147
	EntryRestarted      ID = 148
	RetryUseRestored    ID = 149
	RetryUseStoreFailed ID = 150
	UpstreamUnreachable ID = 151
	UpstreamReachable   ID = 152
	GossipLateEcho      ID = 153
	ClockJumped         ID = 154
	SoftwareStored      ID = 155
	OriginStoreFailed   ID = 156
	MemoryExhausted     ID = 160
	MemoryAvailable     ID = 161
	RequestReceived     ID = 200
	RequestRouted       ID = 201
	RequestRefused      ID = 202
	RequestRetried      ID = 203
	RequestEnded        ID = 204
	StreamResumed       ID = 205
	StreamCut           ID = 206
	CallerGone          ID = 207
	HedgeSent           ID = 208
	CallerEnded         ID = 209
	StreamMoveStarted   ID = 210
	StreamMoved         ID = 211
	StreamMoveFailed    ID = 212
	StreamRestored      ID = 213
	AnswerRejected      ID = 214
	StreamStartsLate    ID = 215
	CopyNotReleased     ID = 216
	AnswerUndelivered   ID = 217
	HandlerPanicked     ID = 218
	RequestSuspected    ID = 219
	RequestHeld         ID = 220
	RequestCleared      ID = 221
	RequestForgotten    ID = 222
	StreamOrigin        ID = 223
	EngineSlow          ID = 224
	EngineNotSlow       ID = 225
	PaceRejected        ID = 226
	EarlierRunStopped   ID = 227
	AttemptRefused      ID = 228
	GenerationQueued    ID = 300
	GenerationAdmitted  ID = 301
	GenerationPaused    ID = 302
	GenerationResumed   ID = 303
	GenerationEnded     ID = 304
	FrameDropped        ID = 305
	PolicyFailed        ID = 306
	CallStarted         ID = 400
	CallDone            ID = 401
	CallRefused         ID = 402
	CallSettled         ID = 403
	LeaseAcquired       ID = 410
	LeaseLost           ID = 411
	LeaseReleased       ID = 412
	DrainStarted        ID = 420
	DrainTooShort       ID = 421
	RequestsGivenUp     ID = 422
	ChangeSubmitted     ID = 500
	ChangeStaged        ID = 501
	ChangeRefused       ID = 502
	ChangeCommitted     ID = 503
	ChangeInForce       ID = 504
	ChangeAccepted      ID = 505
	ConfigActivated     ID = 506
	ConfigStale         ID = 507
	ConfigRestored      ID = 508
	RoutesLoaded        ID = 510
	RoutesRejected      ID = 511
	RoutesUnconfirmed   ID = 512
	RoutesConfirmed     ID = 513
	RoutesOlder         ID = 514
	RoutesOnlyGossip    ID = 515
	PlatformFailed      ID = 600
	StoreLost           ID = 601
	StoreRegained       ID = 602
	StoreHistoryGone    ID = 603
	RegisterFailed      ID = 604
	SourceChanged       ID = 605
	RelayFailed         ID = 606
	StoreRestored       ID = 607
	ConnectionSilent    ID = 608
	RelayOlder          ID = 609
)

// Kind describes one event kind.
type Kind struct {
	id   ID
	name string
	text string
}

// ID returns the event number.
func (k Kind) ID() ID { return k.id }

// Name returns the short name that is printed in logs and in the time line.
func (k Kind) Name() string { return k.name }

// Text returns the one-line explanation for operators.
func (k Kind) Text() string { return k.text }

var catalogue = []Kind{
	{ProcessStarted, "process-started", "A process finished starting and is serving."},
	{ProcessStopping, "process-stopping", "A process received a stop signal and accepts no new work."},
	{ProcessStopped, "process-stopped", "A process completed its planned stop."},
	{SettingsReread, "settings-reread", "A process was signalled to reread its settings; the event lists which of them it applied."},
	{LinesDropped, "lines-dropped", "More log lines were written than the limit allows; the event gives the number of dropped lines."},
	{PeerConnected, "peer-connected", "A connection to a sidecar was established and its handshake verified."},
	{PeerLost, "peer-lost", "A connection to a sidecar closed or stopped answering heartbeats."},
	{PeerLeaving, "peer-leaving", "An upstream is leaving and gets no new work."},
	{PeerSuspected, "peer-suspected", "A sidecar missed a heartbeat, but its connection is still open."},
	{VMListFailed, "vm-list-failed", "The VM list could not be read; the last known list stays in use."},
	{UpstreamJoined, "upstream-joined", "An entry found a new upstream in the store; `software` is the version of its software."},
	{UpstreamBack, "upstream-back", "An upstream whose record had disappeared around an outage of the store is registered again."},
	{UpstreamLeaving, "upstream-leaving", "An upstream gets no new work from now on, and its streams are moved."},
	{UpstreamLapsed, "upstream-lapsed", "The record of an upstream disappeared around an outage of the store; the upstream has a grace period to register again."},
	{UpstreamGone, "upstream-gone", "An upstream that left was removed from the set of upstreams."},
	{UpstreamAvoided, "upstream-avoided", "A connection to an upstream failed; the upstream is avoided while others can serve."},
	{UpstreamRejected, "upstream-rejected", "The record of an upstream is invalid; logged once for each version of the record."},
	{UpstreamAsked, "upstream-asked", "An entry queried an engine for its state, because the store could not provide it, a generation had not started there in time, or an answer without length and chunks ended (`why`). `waiting` counts the requests that the engine has not admitted, `unbegun` the admitted ones whose prompts it is still processing."},
	{UpstreamSuspected, "upstream-suspected", "An engine failed a request that a healthy engine serves; for a while it gets no requests that must not be repeated."},
	{AnswerEndChecked, "answer-end-checked", "The connection of one or more `answers` without length and chunks ended, and an entry asked their upstream `asked` times whether it still serves; `proof` tells what proved that. Without proof the answers count as broken."},
	{EntryHeard, "entry-heard", "An entry receives gossip from another entry for the first time, or again after a silence."},
	{EntrySilent, "entry-silent", "An entry no longer receives gossip from another entry, whose load no longer counts."},
	{GossipRejected, "gossip-rejected", "A message from another entry is invalid and was ignored."},
	{ZoneClosed, "zone-closed", "Operators closed an availability zone: its upstreams get no new work."},
	{ZoneOpened, "zone-opened", "Operators opened an availability zone again."},
	{UpstreamRestarted, "upstream-restarted", "An upstream restarted under its name; the state recorded about its earlier incarnation is discarded, and whatever ran or was held there is lost."},
	{UpstreamOldNews, "upstream-old-news", "An update about an earlier incarnation of an upstream, or one older than the known state, was ignored."},
	{UpstreamHeld, "upstream-held", "The record of a known upstream can no longer be read: the upstream gets no new work, and requests that run there continue."},
	{UpstreamReleased, "upstream-released", "The record of an upstream can be read again: the upstream gets new work."},
	{NewsNotPassedOn, "news-not-passed-on", "No delegate of the zone forwarded an urgent update of an entry in time; the entry sends it to all other entries directly."},
	{LimitNamed, "limit-named", "An upstream stated a rate limit (`rate`, in requests per second from all entries together) that is new or differs from `before`; `source` tells who received it."},
	{LimitOver, "limit-over", "An upstream that had stated a rate limit answered without one: its rate is no longer limited."},
	{LimitRejected, "limit-rejected", "The rate limit that an upstream stated is invalid; the previous one stays in force."},
	{LimitGranter, "limit-granter", "Another entry than `before` now grants the permits for requests to an upstream with a rate limit."},
	{LimitReached, "limit-reached", "No permit is available for a request to an upstream with a rate limit; the next one is available in `next-in`, from `granter`. Requests go to other upstreams until then. Logged at most once a second; `times` counts the occurrences."},
	{LimitNoAnswer, "limit-no-answer", "The entry that grants permits did not answer; this entry sends the upstream no requests until it asks for permits again."},
	{UpstreamNotice, "upstream-notice", "An answer announced that its upstream is leaving (`leaving`), or how long the upstream asks this entry to back off (`back-off`); `known` tells whether it was already known to be leaving."},
	{RetriesUsedUp, "retries-used-up", "The retry budget of a service allows no further attempt now; `requests` and `extra` are what this entry counts in the window. Logged at most once a second for each service; `times` counts the occurrences."},
	{EntryRestarted, "entry-restarted", "Another entry runs as a new process; `requests` and `extra` are the use of the retry budgets, over all services, that its earlier process reported last, `ago` the time since then."},
	{RetryUseRestored, "retry-use-restored", "A starting entry learned from `source` what its earlier processes used of the retry budgets; `complete` tells whether that is all. It makes no extra attempts before."},
	{RetryUseStoreFailed, "retry-use-store-failed", "An entry could not store its use of the retry budgets; it tries again."},
	{UpstreamUnreachable, "upstream-unreachable", "An entry could not connect to an engine. It tells the others, which check the engine themselves, and avoids the engine until it can connect again."},
	{UpstreamReachable, "upstream-reachable", "An entry could connect again to an engine that it could not reach; `last-failed` is the time since its last failed attempt."},
	{GossipLateEcho, "gossip-late-echo", "Another entry echoed a message that arrived after it had encoded the rest of its own message (`by`), so the ages in it must not be counted from the echoed one. Logged at most once a second; `late-echoes` counts all."},
	{ClockJumped, "clock-jumped", "The time of day moved by more than the steady clock (`by`): it was set, or the machine was suspended, which the steady clock does not count."},
	{SoftwareStored, "software-stored", "An entry wrote to the store that a software version of a service is in service, `after` it learned of it."},
	{OriginStoreFailed, "origin-store-failed", "A `call` to the store for the software versions of streams failed, or a row that it returned cannot be used (`row`), or a row has no room for all streams (`left-out`). Only streams that callers resume after a loss of all entries depend on it."},
	{MemoryExhausted, "memory-exhausted", "An entry buffers as much of requests and responses as its memory allows (`used` of `limit` bytes): what no longer fits is refused with 503, and callers that do not read are disconnected."},
	{MemoryAvailable, "memory-available", "Less than half of the memory for buffered requests and responses is in use again."},
	{RequestReceived, "request-received", "An entry accepted a caller's request."},
	{RequestRouted, "request-routed", "An entry sent a request to an upstream. For a stream, `software` is the version of the upstream's software, `after-event` the last event that the caller has, `resumes` the request whose answer began the stream, if the caller resumes one, and `parts` the parts of its prompt that other requests may share."},
	{RequestRefused, "request-refused", "A request got its final refusal, with the time after which the caller may retry."},
	{RequestRetried, "request-retried", "A request that provably did not run is retried on another upstream."},
	{RequestEnded, "request-ended", "A caller received the last byte of its answer. `framed` is false if neither a length nor chunks, but only the end of the upstream's connection marked the end of the answer. `end-proved-by` tells how it is known that the answer is complete: by its `framing`, or by a `report` or `health check` of the upstream after the end."},
	{StreamResumed, "stream-resumed", "A caller resumed a stream at the next offset."},
	{StreamCut, "stream-cut", "A stream ended before it was complete, and the caller was told where and why."},
	{CallerGone, "caller-gone", "A caller's connection closed before its answer was complete; `ended-here` gives the reason if this entry closed it, and `evicted` tells that it did because the caller did not read."},
	{HedgeSent, "hedge-sent", "A slow request that may run twice was also sent to a second upstream (a hedge)."},
	{CallerEnded, "caller-ended", "An entry closed a caller's connection while it waited for a request, because the wait exceeded the configured limit or the entry is stopping (`why`)."},
	{StreamMoveStarted, "stream-move-started", "The memory of a running generation is being copied to another engine; `from-software` and `to-software` are the versions of the engines' software."},
	{StreamMoved, "stream-moved", "A running generation continues at the engine that holds the copy of its memory."},
	{StreamMoveFailed, "stream-move-failed", "A running generation could not be moved; it continues on its engine, or is lost with that engine."},
	{StreamRestored, "stream-restored", "A stream whose engine was lost continues at another engine."},
	{AnswerRejected, "answer-rejected", "An upstream's answer was not forwarded, for the given reason."},
	{StreamStartsLate, "stream-starts-late", "An engine has not started a generation within the route's objective; the entry keeps waiting. Unless prompts or memory explain the delay (`crowded`), the engine is queried (`upstream-asked`), and becomes a suspect if it does not report that requests are waiting or that prompts are being processed there."},
	{CopyNotReleased, "copy-not-released", "The release command for a copy of a generation's memory did not reach an engine; the engine drops the copy by itself."},
	{AnswerUndelivered, "answer-undelivered", "An answer could not be written to its caller's connection; `ended-here` gives the reason if this entry closed the connection."},
	{HandlerPanicked, "handler-panicked", "A panic in this program ended the work on a request; `stack` gives the location."},
	{RequestSuspected, "request-suspected", "An upstream crashed while it ran a request; `ends` counts the crashes held against the request, `on-trial` tells that the request ran there as a suspect, apart from other suspects. From now on the request runs at most once at a time, and after two crashes apart from other suspects."},
	{RequestHeld, "request-held", "A request crashed one upstream after another (`upstreams`) and is in quarantine: every entry refuses it at once."},
	{RequestCleared, "request-cleared", "A request under which upstreams crashed is no longer a suspect: an upstream served it, or an operator lifted its quarantine (`why`)."},
	{RequestForgotten, "request-forgotten", "More requests under which upstreams crashed are recorded than the limit allows; the least important record was dropped."},
	{StreamOrigin, "stream-origin", "An entry looked for the software version that began the stream that a caller resumes (`resumes`); `source` tells how it was learned: from this entry's own `record`, from another entry (`peer`), from the `store`, or because it is the `only version`: by this entry's own view of the upstreams, which it has followed for `followed` until `view-age` ago, or by the versions in the store (`stored`). Otherwise the caller is refused: with `nobody` neither an entry nor the store knows the stream, with `no answer` not all entries answered, with `some` not all are heard, with `not named` the caller did not name the request that began it, with `no store` the store did not answer (`error`), or not say that the upstreams are known as of the request (`unverified`). `silent-entries` counts the entries that are known but not heard."},
	{EngineSlow, "engine-slow", "An engine began to count as slow: its pace, the time between two events of a stream, is `interval`, while the median of its service is `typical`. `entries` entries observed it. Long streams go elsewhere while there is room."},
	{EngineNotSlow, "engine-not-slow", "An engine no longer counts as slow."},
	{PaceRejected, "pace-rejected", "Reports of another entry about the pace of engines were invalid; they are dropped and change nothing."},
	{EarlierRunStopped, "earlier-run-stopped", "A generation went on at another engine (`goes-on-at`) after its answer had broken off, but its first engine (`at`) still ran it and was commanded to stop it."},
	{AttemptRefused, "attempt-refused", "An upstream refused a request without running it (`verdict`). `instance` is the upstream that the answer names, `connection` the one that carried the request, and `late` how many answers to earlier requests came first there. The request may be sent to another upstream."},
	{GenerationQueued, "generation-queued", "A sidecar queues a generation until memory allows it to run."},
	{GenerationAdmitted, "generation-admitted", "A sidecar sent a generation to its engine."},
	{GenerationPaused, "generation-paused", "A generation was preempted by others and keeps its place."},
	{GenerationResumed, "generation-resumed", "A paused generation runs again."},
	{GenerationEnded, "generation-ended", "A generation produced its last token, or ended without it for a stated reason."},
	{FrameDropped, "frame-dropped", "A frame from another generation, incarnation or offset was dropped."},
	{PolicyFailed, "policy-failed", "A policy failed at run time, and its declared default was used."},
	{CallStarted, "call-started", "A call was recorded as started, before its first byte went to the upstream."},
	{CallDone, "call-done", "The answer to a call was stored for later queries about the call."},
	{CallRefused, "call-refused", "A call was refused, and its identifier can never run here."},
	{CallSettled, "call-settled", "A query about a call was answered."},
	{LeaseAcquired, "lease-acquired", "A sidecar acquired its lease and may run calls that carry a caller's key."},
	{LeaseLost, "lease-lost", "The lease of a sidecar expired; calls with a caller's key are refused."},
	{LeaseReleased, "lease-released", "A sidecar released its lease in a planned stop."},
	{DrainStarted, "drain-started", "An upstream accepts no new work and finishes its requests in flight."},
	{DrainTooShort, "drain-too-short", "A planned stop reached its deadline with requests in flight."},
	{RequestsGivenUp, "requests-given-up", "A planned stop gave up `requests` without an answer and refused them. `took` is the time since it gave up the first, `unwritten` the number of connections whose responses are not written yet. `run-share` is the part of the time in which the process ran before, `longest-pause` the longest time in which it did not."},
	{ChangeSubmitted, "change-submitted", "An operator submitted a configuration change."},
	{ChangeStaged, "change-staged", "A process validated a candidate configuration and holds it without putting it into force."},
	{ChangeRefused, "change-refused", "A configuration change was refused and is in force nowhere."},
	{ChangeCommitted, "change-committed", "A configuration change was committed as the stored head."},
	{ChangeInForce, "change-in-force", "A process runs a committed configuration."},
	{ChangeAccepted, "change-accepted", "A configuration change is in force at every process."},
	{ConfigActivated, "config-activated", "A process put a higher configuration version into force."},
	{ConfigStale, "config-stale", "A process was offered a configuration version that is not higher than its own, and ignored it."},
	{ConfigRestored, "config-restored", "A process wrote the version in force back to the table, which had lost it."},
	{RoutesLoaded, "routes-loaded", "An entry switched to a newer route table."},
	{RoutesRejected, "routes-rejected", "A route table is invalid; the last valid one stays in force."},
	{RoutesUnconfirmed, "routes-unconfirmed", "The route table has not been confirmed for so long that requests with unknown keys, or with any key where the bound is hard, are refused without being run."},
	{RoutesConfirmed, "routes-confirmed", "The route table is confirmed again and proves which keys are valid."},
	{RoutesOlder, "routes-older", "The store has an older route table than the one in force, which stays in force; `restored` means that the store was restored from a copy and the later table must be written again. To go back to an older table on purpose, write it with a higher version."},
	{RoutesOnlyGossip, "routes-only-gossip", "For some seconds only gossip of other entries has confirmed the route table, and no answer of the store."},
	{PlatformFailed, "platform-failed", "A call to a platform store failed; it is retried with backoff."},
	{StoreLost, "store-lost", "A call that follows a table of the store failed; the last known records stay in use."},
	{StoreRegained, "store-regained", "The store answers again."},
	{StoreHistoryGone, "store-history-gone", "The store discarded the changes since the last answer, or they are too many for one answer; the whole table is read again."},
	{SourceChanged, "source-changed", "A table is followed through another source: the store, or an entry that follows the store."},
	{RelayFailed, "relay-failed", "Another entry could not relay a table; the store is queried directly."},
	{StoreRestored, "store-restored", "The store was restored from an older copy of itself: its versions continue from `version` in a new `epoch`, and records may be older than the known ones."},
	{ConnectionSilent, "connection-silent", "A call was answered on a new connection, but not on one that was open before, which is closed. Other calls on older connections to the same process are repeated at once."},
	{RelayOlder, "relay-older", "Another entry answered with an older whole table (`version`) than the one that this entry has (`known`). The answer is not used; another entry or the store is asked."},
	{RegisterFailed, "register-failed", "An entry could not write or read the list of entries."},
}

var byID = func() map[ID]Kind {
	m := make(map[ID]Kind, len(catalogue))
	for _, k := range catalogue {
		m[k.id] = k
	}
	return m
}()

// Catalogue returns all event kinds in order of their numbers.
func Catalogue() []Kind { return append([]Kind(nil), catalogue...) }

// KindOf returns the kind with number id, and false if there is none.
func KindOf(id ID) (Kind, bool) {
	k, ok := byID[id]
	return k, ok
}
