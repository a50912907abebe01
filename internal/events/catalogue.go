package events

// ID is the number of an event kind. Numbers are never reused.
type ID int

// The event kinds. docs/EVENTS.md lists them for operators; a test compares
// that page with the catalogue.
const (
	ProcessStarted     ID = 100
	ProcessStopping    ID = 101
	ProcessStopped     ID = 102
	SettingsReread     ID = 103
	LinesDropped       ID = 104
	PeerConnected      ID = 110
	PeerLost           ID = 111
	PeerLeaving        ID = 112
	PeerSuspected      ID = 113
	VMListFailed       ID = 114
	UpstreamJoined     ID = 120
	UpstreamBack       ID = 121
	UpstreamLeaving    ID = 122
	UpstreamLapsed     ID = 123
	UpstreamGone       ID = 124
	UpstreamAvoided    ID = 125
	UpstreamRejected   ID = 126
	UpstreamAsked      ID = 127
	UpstreamSuspected  ID = 128
	EntryHeard         ID = 130
	EntrySilent        ID = 131
	GossipRejected     ID = 132
	ZoneClosed         ID = 133
	ZoneOpened         ID = 134
	UpstreamRestarted  ID = 135
	UpstreamOldNews    ID = 136
	UpstreamHeld       ID = 137
	UpstreamReleased   ID = 138
	NewsNotPassedOn    ID = 139
	LimitNamed         ID = 140
	LimitOver          ID = 141
	LimitRejected      ID = 142
	LimitGranter       ID = 143
	LimitReached       ID = 144
	LimitNoAnswer      ID = 145
	UpstreamNotice     ID = 146
	RequestReceived    ID = 200
	RequestRouted      ID = 201
	RequestRefused     ID = 202
	RequestRetried     ID = 203
	RequestEnded       ID = 204
	StreamResumed      ID = 205
	StreamCut          ID = 206
	CallerGone         ID = 207
	HedgeSent          ID = 208
	CallerEnded        ID = 209
	StreamMoveStarted  ID = 210
	StreamMoved        ID = 211
	StreamMoveFailed   ID = 212
	StreamRestored     ID = 213
	AnswerRejected     ID = 214
	StreamStartsLate   ID = 215
	CopyNotReleased    ID = 216
	AnswerUndelivered  ID = 217
	HandlerPanicked    ID = 218
	RequestSuspected   ID = 219
	RequestHeld        ID = 220
	RequestCleared     ID = 221
	RequestForgotten   ID = 222
	GenerationQueued   ID = 300
	GenerationAdmitted ID = 301
	GenerationPaused   ID = 302
	GenerationResumed  ID = 303
	GenerationEnded    ID = 304
	FrameDropped       ID = 305
	PolicyFailed       ID = 306
	CallStarted        ID = 400
	CallDone           ID = 401
	CallRefused        ID = 402
	CallSettled        ID = 403
	LeaseAcquired      ID = 410
	LeaseLost          ID = 411
	LeaseReleased      ID = 412
	DrainStarted       ID = 420
	DrainTooShort      ID = 421
	ChangeSubmitted    ID = 500
	ChangeStaged       ID = 501
	ChangeRefused      ID = 502
	ChangeCommitted    ID = 503
	ChangeInForce      ID = 504
	ChangeAccepted     ID = 505
	ConfigActivated    ID = 506
	ConfigStale        ID = 507
	ConfigRestored     ID = 508
	RoutesLoaded       ID = 510
	RoutesRejected     ID = 511
	RoutesUnconfirmed  ID = 512
	RoutesConfirmed    ID = 513
	RoutesOlder        ID = 514
	PlatformFailed     ID = 600
	StoreLost          ID = 601
	StoreRegained      ID = 602
	StoreHistoryGone   ID = 603
	RegisterFailed     ID = 604
	SourceChanged      ID = 605
	RelayFailed        ID = 606
	StoreRestored      ID = 607
)

// Kind describes one event kind.
type Kind struct {
	id   ID
	name string
	text string
}

// ID returns the event number.
func (k Kind) ID() ID { return k.id }

// Name returns the short name that logs and the time line print.
func (k Kind) Name() string { return k.name }

// Text returns the one-line explanation for operators.
func (k Kind) Text() string { return k.text }

var catalogue = []Kind{
	{ProcessStarted, "process-started", "A process finished its start and serves."},
	{ProcessStopping, "process-stopping", "A process was told to stop and takes no new work."},
	{ProcessStopped, "process-stopped", "A process ended its planned stop."},
	{SettingsReread, "settings-reread", "A process was told that its settings changed, and says which of them it took over."},
	{LinesDropped, "lines-dropped", "More lines were written than the bound allows; it tells how many were left out."},
	{PeerConnected, "peer-connected", "A connection to a sidecar was made and its greeting checked."},
	{PeerLost, "peer-lost", "A connection to a sidecar ended or stopped answering heartbeats."},
	{PeerLeaving, "peer-leaving", "An upstream is leaving and gets no new work."},
	{PeerSuspected, "peer-suspected", "A sidecar missed a heartbeat but its connection is open."},
	{VMListFailed, "vm-list-failed", "The VM list could not be read; the last one known stays in use."},
	{UpstreamJoined, "upstream-joined", "An entry saw a new upstream in the store."},
	{UpstreamBack, "upstream-back", "An upstream that had lapsed around an outage of the store is there again."},
	{UpstreamLeaving, "upstream-leaving", "An upstream gets no new work from now on, and its streams are moved."},
	{UpstreamLapsed, "upstream-lapsed", "An upstream vanished around an outage of the store and has time to come back."},
	{UpstreamGone, "upstream-gone", "An upstream that left is forgotten."},
	{UpstreamAvoided, "upstream-avoided", "An upstream failed a connection and is avoided while others can serve."},
	{UpstreamRejected, "upstream-rejected", "The record of an upstream cannot be used; once for each of its versions."},
	{UpstreamAsked, "upstream-asked", "An entry asked an engine for its state: the store could not tell it, or a generation had not begun there in time (`why`). `waiting` and `unbegun` are the requests that it has not let in and those whose prompts it reads."},
	{UpstreamSuspected, "upstream-suspected", "An engine failed a request that a sound one serves; for a while it gets none that may not be repeated."},
	{EntryHeard, "entry-heard", "An entry hears from another one, for the first time or again."},
	{EntrySilent, "entry-silent", "An entry no longer hears from another one; its load no longer counts."},
	{GossipRejected, "gossip-rejected", "A message of another entry cannot be used."},
	{ZoneClosed, "zone-closed", "Operators closed an availability zone: its upstreams get no new work."},
	{ZoneOpened, "zone-opened", "Operators opened an availability zone again."},
	{UpstreamRestarted, "upstream-restarted", "An upstream started again under its name; all that was believed of the earlier start is forgotten, and what ran or was held there is lost."},
	{UpstreamOldNews, "upstream-old-news", "News of an earlier start of an upstream, or older than what is known, changes nothing."},
	{UpstreamHeld, "upstream-held", "The row of a known upstream can no longer be read: it gets no new work, and what runs there goes on."},
	{UpstreamReleased, "upstream-released", "The row of an upstream can be read again: it gets new work."},
	{NewsNotPassedOn, "news-not-passed-on", "No delegate of the zone passed on in time what an entry had to tell at once; it tells all others directly."},
	{LimitNamed, "limit-named", "An upstream named how many requests a second it takes from all entries together (`rate`), or another number than `before`; `source` is who heard it."},
	{LimitOver, "limit-over", "An upstream that had named a limit answers without one: it takes any number of requests again."},
	{LimitRejected, "limit-rejected", "What an upstream names as its limit cannot be used; the one that it named before holds."},
	{LimitGranter, "limit-granter", "Another entry than `before` grants the permits for requests to an upstream that named a limit."},
	{LimitReached, "limit-reached", "There is no permit for a request to an upstream that named a limit; the next one may be had in `next-in`, from `granter`. Requests go elsewhere until then. A line a second at most; `times` counts."},
	{LimitNoAnswer, "limit-no-answer", "The entry that grants permits did not answer; the upstream gets no requests of this entry until it asks again."},
	{UpstreamNotice, "upstream-notice", "An answer says that its upstream leaves (`leaving`), or for how long it wants no requests of this entry (`back-off`); `known` tells that it was known to leave."},
	{RequestReceived, "request-received", "An entry accepted a caller's request."},
	{RequestRouted, "request-routed", "An entry sent a request to an upstream's sidecar."},
	{RequestRefused, "request-refused", "A request got its final refusal, with a time to come back."},
	{RequestRetried, "request-retried", "A request that provably did not run is tried on another upstream."},
	{RequestEnded, "request-ended", "A caller received the last byte of its answer."},
	{StreamResumed, "stream-resumed", "A caller went on with a stream at the next offset."},
	{StreamCut, "stream-cut", "A stream ended before it was whole, and the caller was told where and why."},
	{CallerGone, "caller-gone", "A caller's connection closed before its answer was whole; `ended-here` says why this entry closed it, if it did."},
	{HedgeSent, "hedge-sent", "A slow request that may run twice was sent to a second upstream as well."},
	{CallerEnded, "caller-ended", "An entry ended a caller's connection that waited for a request: it took longer than the operator allows, or the entry stops (`why`)."},
	{StreamMoveStarted, "stream-move-started", "The memory of a running generation is being copied to another engine."},
	{StreamMoved, "stream-moved", "A running generation goes on at the engine that holds the copy of its memory."},
	{StreamMoveFailed, "stream-move-failed", "A running generation could not be moved; it goes on where it is, or is lost with its engine."},
	{StreamRestored, "stream-restored", "A stream whose engine was lost goes on at another one."},
	{AnswerRejected, "answer-rejected", "An upstream's answer was not passed on, for the reason given."},
	{StreamStartsLate, "stream-starts-late", "An engine has not begun a generation within the route's objective; the entry goes on waiting. Unless prompts or memory explain it (`crowded`), the engine is asked (`upstream-asked`), and is a suspect if it does not say that requests wait or are read there."},
	{CopyNotReleased, "copy-not-released", "An engine could not be told that nobody needs a copy of a generation's memory; it drops it by itself."},
	{AnswerUndelivered, "answer-undelivered", "An answer could not be written to its caller's connection; `ended-here` says why this entry ended that, if it did."},
	{HandlerPanicked, "handler-panicked", "A fault of this program ended the work on a request; `stack` says where."},
	{RequestSuspected, "request-suspected", "An upstream ended while it ran a request; `ends` counts those that speak against the request, `on-trial` tells that it ran by itself there, as a suspect. It runs once at a time from now on, and apart from others with two ends."},
	{RequestHeld, "request-held", "A request ended one upstream after the other and is kept from them (`upstreams`): it is refused at once, at every entry."},
	{RequestCleared, "request-cleared", "Nothing speaks any more against a request under which upstreams ended: one served it, or an operator lifted its quarantine (`why`)."},
	{RequestForgotten, "request-forgotten", "More requests ended upstreams than are remembered; the one that matters least is forgotten."},
	{GenerationQueued, "generation-queued", "A sidecar holds a generation until memory allows it."},
	{GenerationAdmitted, "generation-admitted", "A sidecar sent a generation to its engine."},
	{GenerationPaused, "generation-paused", "A generation gave way to others and keeps its place."},
	{GenerationResumed, "generation-resumed", "A paused generation runs again."},
	{GenerationEnded, "generation-ended", "A generation has its last token or a stated reason for having none."},
	{FrameDropped, "frame-dropped", "A frame from another generation, incarnation or offset was dropped."},
	{PolicyFailed, "policy-failed", "A policy failed at run time and its stated default was used."},
	{CallStarted, "call-started", "A call was recorded as started, before its first byte went to the upstream."},
	{CallDone, "call-done", "A call's answer was kept for later questions about it."},
	{CallRefused, "call-refused", "A call was refused and its identifier can never run here."},
	{CallSettled, "call-settled", "A question about a call was answered."},
	{LeaseAcquired, "lease-acquired", "A sidecar may run calls that carry a caller's key."},
	{LeaseLost, "lease-lost", "A sidecar's lease ran out; calls with a caller's key are refused."},
	{LeaseReleased, "lease-released", "A sidecar gave its lease back in a planned stop."},
	{DrainStarted, "drain-started", "An upstream takes no new work and finishes what it has."},
	{DrainTooShort, "drain-too-short", "A planned stop reached its deadline with requests in flight."},
	{ChangeSubmitted, "change-submitted", "An operator submitted a configuration change."},
	{ChangeStaged, "change-staged", "A process validated a candidate configuration and holds it, inert."},
	{ChangeRefused, "change-refused", "A configuration change was refused and is in force nowhere."},
	{ChangeCommitted, "change-committed", "A configuration change is the stored head."},
	{ChangeInForce, "change-in-force", "A process runs a committed configuration."},
	{ChangeAccepted, "change-accepted", "A configuration change is in force at every process."},
	{ConfigActivated, "config-activated", "A process went to a higher configuration version."},
	{ConfigStale, "config-stale", "A process was offered a version that is not higher than its own."},
	{ConfigRestored, "config-restored", "A process gave the table the version in force again: the table had lost it."},
	{RoutesLoaded, "routes-loaded", "An entry went to a newer route table."},
	{RoutesRejected, "routes-rejected", "A route table cannot be used; the last good one stays in force."},
	{RoutesUnconfirmed, "routes-unconfirmed", "The route table was not confirmed for so long that requests with unknown keys, or with any keys where the bound is hard, are refused unrun."},
	{RoutesConfirmed, "routes-confirmed", "The route table is confirmed again and proves which keys are valid."},
	{RoutesOlder, "routes-older", "The store has an older route table than the one in force, which stays; with `restored` the store was restored from a copy, and the later one is to be written again. One that is meant needs a higher version."},
	{PlatformFailed, "platform-failed", "A call to a platform store failed; it is tried again with back-off."},
	{StoreLost, "store-lost", "A call that follows a table of the store failed; the last known rows stay in use."},
	{StoreRegained, "store-regained", "The store answers again."},
	{StoreHistoryGone, "store-history-gone", "The store dropped the changes since the last answer; the table is read anew."},
	{SourceChanged, "source-changed", "A table is followed through another source: the store, or an entry that follows it."},
	{RelayFailed, "relay-failed", "Another entry could not pass on a table; the store is asked itself."},
	{StoreRestored, "store-restored", "The store was restored from an older copy of itself: its versions go on from `version` in a new `epoch`, and rows may be older than what is known of them."},
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
