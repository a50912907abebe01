package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/platform"
)

// State is the state of a change.
type State string

// The states of a change. Accepted and Refused are final.
const (
	Accepted  State = "accepted"
	Refused   State = "refused"
	Committed State = "committed"
	InDoubt   State = "unknown"
)

// Outcome is the result of an operator's change.
type Outcome struct {
	state   State
	version config.Version
	reasons []string
}

// State returns the state of the change.
func (o Outcome) State() State { return o.state }

// Version returns the version of a committed change, or the committed version that a refused change
// conflicts with.
func (o Outcome) Version() config.Version { return o.version }

// Reasons returns why the change is not accepted, with zone, process and cause for each process concerned.
func (o Outcome) Reasons() []string { return o.reasons }

// Change is a configuration change that an operator submits.
type Change struct {
	// ID is unique for each change. A change that is submitted again with its ID is applied only once.
	ID string
	// By is the name of the operator.
	By string
	// Base is the version from which the change was made.
	Base config.Version
	// Source is the whole configuration.
	Source []byte
}

// Target is a process that must stage and activate a change. Its call function sends requests to it.
type Target struct {
	name string
	zone string
	call func(ctx context.Context, method string, params, result any) error
}

// NewTarget returns a target to which call sends requests.
func NewTarget(name, zone string, call func(ctx context.Context, method string, params, result any) error) Target {
	return Target{name: name, zone: zone, call: call}
}

// TargetsOf returns a function that lists the processes on the VM list that are not leaving. The function
// reads the VM list on each call, so that it includes processes that joined in the meantime.
func TargetsOf(set *membership.Set) func(ctx context.Context) ([]Target, error) {
	return func(ctx context.Context) ([]Target, error) {
		if err := set.Refresh(ctx); err != nil {
			return nil, err
		}
		var out []Target
		for _, p := range set.Peers() {
			if !p.Leaving() {
				out = append(out, NewTarget(p.VMName(), p.VMZone(), caller(p)))
			}
		}
		return out, nil
	}
}

func caller(p *membership.Peer) func(ctx context.Context, method string, params, result any) error {
	return func(ctx context.Context, method string, params, result any) error {
		c := p.Conn()
		if c == nil {
			return errNoConnection
		}
		return c.Call(ctx, method, params, result)
	}
}

var errNoConnection = errors.New("no connection")

// Deadlines bound the duration of the steps of a change.
type Deadlines struct {
	// Stage is how long processes may take to stage the change before it is refused.
	Stage time.Duration
	// Confirm is how long the coordinator waits for the change to be in force everywhere. After that it
	// reports the change as committed, but not accepted.
	Confirm time.Duration
}

// DefaultDeadlines returns deadlines that keep a change within the 17 s that users require.
func DefaultDeadlines() Deadlines { return Deadlines{Stage: 8 * time.Second, Confirm: 8 * time.Second} }

const (
	// initialHomesSince is the time from which the home upstreams of the first version are valid. No
	// earlier homes exist, so it is the lowest time that is not 0.
	initialHomesSince = 1

	headGroup     = "config"
	headName      = "head"
	changeGroup   = "change"
	retryInterval = 100 * time.Millisecond
	maxTries      = 5
)

var headKey = platform.Key{Group: headGroup, Name: headName}

// Coordinator stages, commits and confirms changes. Every process can run one.
type Coordinator struct {
	store     *Store
	table     *platform.Table
	objects   *platform.Objects
	targets   func(ctx context.Context) ([]Target, error)
	rec       *events.Recorder
	deadlines Deadlines
	now       func() time.Time
}

// NewCoordinator returns a Coordinator. The function targets lists the processes that must stage and activate
// a change at the time of its call.
func NewCoordinator(store *Store, table *platform.Table, objects *platform.Objects, targets func(ctx context.Context) ([]Target, error), rec *events.Recorder, deadlines Deadlines, now func() time.Time) *Coordinator {
	return &Coordinator{store: store, table: table, objects: objects, targets: targets, rec: rec, deadlines: deadlines, now: now}
}

// changeRow is the stored record of a committed change.
type changeRow struct {
	Version config.Version `json:"version"`
	By      string         `json:"by"`
	At      int64          `json:"at"`
}

// Submit stages, commits and confirms a change.
func (c *Coordinator) Submit(ctx context.Context, ch Change) Outcome {
	c.rec.Note(events.ChangeSubmitted, ch.ID, "by", ch.By, "base", ch.Base)
	out := c.submit(ctx, ch)
	switch out.state {
	case Refused:
		c.rec.Note(events.ChangeRefused, ch.ID, "by", ch.By, "base", ch.Base, "reasons", strings.Join(out.reasons, "; "))
	case Accepted:
		c.rec.Note(events.ChangeAccepted, ch.ID, "by", ch.By, "version", out.version)
	}
	return out
}

func refused(v config.Version, format string, args ...any) Outcome {
	return Outcome{state: Refused, version: v, reasons: []string{fmt.Sprintf(format, args...)}}
}

// conflictOutcome returns the refusal of a change whose version was committed for another change, h.
func conflictOutcome(h head) Outcome {
	return refused(h.Version, "version %d by %s won the race", h.Version, h.By)
}

func (c *Coordinator) submit(ctx context.Context, ch Change) Outcome {
	cfg, err := config.Parse("candidate", ch.Source)
	if err != nil {
		return refused(ch.Base, "%v", err)
	}
	h, before, err := c.latestHead(ctx)
	if err != nil {
		return refused(ch.Base, "the table cannot be read: %v", err)
	}
	if h.Change == ch.ID {
		return c.confirm(ctx, h)
	}
	if h.Version != ch.Base {
		return refused(h.Version, "version %d by %s won, the change was made from %d", h.Version, h.By, ch.Base)
	}
	if err := c.putSource(ctx, cfg); err != nil {
		return refused(h.Version, "the object store: %v", err)
	}
	if reasons := c.stageEverywhere(ctx, ch, h.Version+1, cfg); len(reasons) > 0 {
		if later, _, err := c.readHead(ctx); err == nil && later.Version > h.Version {
			return conflictOutcome(later)
		}
		return Outcome{state: Refused, version: h.Version, reasons: reasons}
	}
	next := head{Version: h.Version + 1, Hash: cfg.Hash(), Change: ch.ID, By: ch.By, HomesSince: h.HomesSince}
	if h.Version == 0 {
		next.HomesSince = initialHomesSince
	} else if active := c.store.Active(); active.Version() != h.Version || !config.SameHomes(active.Config(), cfg) {
		next.HomesSince = 0
	}
	return c.commit(ctx, next, before)
}

// putSource stores the text that the operator wrote and the canonical form. Both writes are idempotent, so a
// lost reply is handled by a retry.
func (c *Coordinator) putSource(ctx context.Context, cfg *config.Config) error {
	if err := c.putObject(ctx, cfg.Hash()+sourceSuffix, cfg.Source()); err != nil {
		return err
	}
	return c.putObject(ctx, cfg.Hash(), cfg.Canonical())
}

func (c *Coordinator) putObject(ctx context.Context, name string, content []byte) error {
	var err error
	for range maxTries {
		if err = c.objects.Put(ctx, name, content); err == nil {
			return nil
		}
		c.rec.Note(events.PlatformFailed, "", "error", err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval + rand.N(retryInterval)):
		}
	}
	return err
}

// readHead returns the head and its record, which are empty if the table has no head.
func (c *Coordinator) readHead(ctx context.Context) (head, platform.Row, error) {
	r, err := c.table.Get(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, platform.Row{}, nil
	}
	if err != nil {
		c.rec.Note(events.PlatformFailed, "", "error", err)
		return head{}, platform.Row{}, err
	}
	var h head
	if err := jsonbound.Unmarshal(r.Value, jsonbound.MaxRowBytes, &h); err != nil {
		return head{}, platform.Row{}, fmt.Errorf("head row: %w", err)
	}
	return h, r, nil
}

// writeHead returns the write that replaces the head record read before by h.
func writeHead(h head, before platform.Row) (platform.Write, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return platform.Write{}, fmt.Errorf("head row: %w", err)
	}
	return platform.Write{Row: platform.Row{Key: headKey, Revision: before.Revision + 1, Value: value}, Expected: before.Value}, nil
}

// stageEverywhere stages the change at every process on the VM list and returns the reasons against the change;
// there are none if every process has staged it. A process that does not answer is called again until the
// deadline, since a process may stay on the VM list for a while after its end.
func (c *Coordinator) stageEverywhere(ctx context.Context, ch Change, v config.Version, cfg *config.Config) []string {
	ctx, cancel := context.WithTimeout(ctx, c.deadlines.Stage)
	defer cancel()
	staged := map[string]bool{}
	cand := c.candidate(ch, v, cfg)
	var lastMissing []string
	for {
		missing, refusals := c.stageRound(ctx, cand, staged)
		if ctx.Err() != nil && len(lastMissing) > 0 {
			// The deadline interrupted this round; the result of the previous round names the processes
			// that did not answer.
			return lastMissing
		}
		lastMissing = missing
		if len(refusals) > 0 {
			return refusals
		}
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return missing
		case <-time.After(retryInterval):
		}
	}
}

// candidate is a change that is split into chunks.
type candidate struct {
	params   stageParams
	contents chunkSet
}

// candidate prepares the message that is sent to every process: the hashes of all chunks, and the content of
// the chunks that are not part of the configuration in force here.
func (c *Coordinator) candidate(ch Change, v config.Version, cfg *config.Config) candidate {
	chunks := split(cfg.Canonical())
	cand := candidate{contents: newChunkSet(chunks), params: stageParams{Change: ch.ID, Version: v, Hash: cfg.Hash(), ChunkContents: chunkSet{}}}
	active := c.store.activeChunks()
	for _, k := range chunks {
		cand.params.ChunkHashes = append(cand.params.ChunkHashes, k.hash)
		if _, ok := active[k.hash]; !ok {
			cand.params.ChunkContents[k.hash] = k.content
		}
	}
	return cand
}

// send stages the candidate at one process. If the process reports missing chunks, send calls it a second time
// with these chunks included.
func (cand candidate) send(ctx context.Context, t Target, stamp events.Stamp) (stageResult, error) {
	params := cand.params
	params.Stamp = stamp
	var r stageResult
	if err := t.call(ctx, methodStage, params, &r); err != nil || len(r.Missing) == 0 {
		return r, err
	}
	params.ChunkContents = chunkSet{}
	for _, h := range r.Missing {
		params.ChunkContents[h] = cand.contents[h]
	}
	for h, b := range cand.params.ChunkContents {
		params.ChunkContents[h] = b
	}
	r = stageResult{}
	err := t.call(ctx, methodStage, params, &r)
	return r, err
}

func (c *Coordinator) stageRound(ctx context.Context, cand candidate, staged map[string]bool) (missing, refusals []string) {
	targets, err := c.targets(ctx)
	if err != nil {
		return []string{fmt.Sprintf("the VM list cannot be read: %v", err)}, nil
	}
	var pending []Target
	for _, t := range targets {
		if !staged[t.name] {
			pending = append(pending, t)
		}
	}
	stamp := c.rec.Now()
	results := eachTarget(ctx, pending, func(ctx context.Context, t Target) (stageResult, error) {
		return cand.send(ctx, t, stamp)
	})
	for i, t := range pending {
		switch {
		case results[i].err != nil:
			missing = append(missing, fmt.Sprintf("zone %s, process %s: %v", t.zone, t.name, results[i].err))
		case len(results[i].value.Missing) > 0:
			missing = append(missing, fmt.Sprintf("zone %s, process %s: %v", t.zone, t.name, errMissingChunks))
		case results[i].value.Refused != "":
			refusals = append(refusals, fmt.Sprintf("zone %s, process %s: %s", t.zone, t.name, results[i].value.Refused))
		default:
			staged[t.name] = true
		}
	}
	return missing, refusals
}

type targetResult[T any] struct {
	value T
	err   error
}

// eachTarget calls all targets concurrently, each with a time limit of callTimeout.
func eachTarget[T any](ctx context.Context, targets []Target, call func(ctx context.Context, t Target) (T, error)) []targetResult[T] {
	out := make([]targetResult[T], len(targets))
	var wg sync.WaitGroup
	for i, t := range targets {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			out[i].value, out[i].err = call(ctx, t)
		})
	}
	wg.Wait()
	return out
}

// commit writes the head and the record of the change in one transaction, and confirms the change. After a lost
// reply it reads the record of the change, so that it never reports a guessed result.
func (c *Coordinator) commit(ctx context.Context, next head, before platform.Row) Outcome {
	write, err := writeHead(next, before)
	if err != nil {
		return refused(next.Version-1, "%v", err)
	}
	changeValue, err := json.Marshal(changeRow{Version: next.Version, By: next.By, At: c.now().UnixMilli()})
	if err != nil {
		return refused(next.Version-1, "change row: %v", err)
	}
	err = c.table.Commit(ctx, write,
		platform.Write{Row: platform.Row{Key: platform.Key{Group: changeGroup, Name: next.Change}, Revision: 1, Value: changeValue}},
	)
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		return c.resolveConflict(ctx, next)
	default:
		c.rec.Note(events.PlatformFailed, next.Change, "error", err)
		if out, done := c.resolveUnknownCommit(ctx, next); !done {
			return out
		}
	}
	c.rec.Note(events.ChangeCommitted, next.Change, "version", next.Version)
	return c.confirm(ctx, next)
}

func (c *Coordinator) resolveConflict(ctx context.Context, next head) Outcome {
	h, _, err := c.readHead(ctx)
	if err != nil {
		return refused(next.Version, "another change won the race for version %d", next.Version)
	}
	if h.Change == next.Change {
		return c.confirm(ctx, h)
	}
	return conflictOutcome(h)
}

// resolveUnknownCommit finds out whether a commit without a reply took effect, and returns true if it did.
// It reports a refusal only after the head has moved past the revision that the commit requires, because the
// commit can then no longer take effect late.
func (c *Coordinator) resolveUnknownCommit(ctx context.Context, next head) (Outcome, bool) {
	for range maxTries {
		_, err := c.table.Get(ctx, platform.Key{Group: changeGroup, Name: next.Change})
		if err == nil {
			return Outcome{}, true
		}
		if errors.Is(err, platform.ErrNotFound) {
			h, _, err := c.readHead(ctx)
			if err == nil && h.Version >= next.Version {
				return conflictOutcome(h), false
			}
		}
		delay := retryInterval + rand.N(retryInterval)
		select {
		case <-ctx.Done():
			return Outcome{state: InDoubt, reasons: []string{"the table did not answer; ask for the change by its identifier"}}, false
		case <-time.After(delay):
		}
	}
	return Outcome{state: InDoubt, reasons: []string{"the table did not answer; ask for the change by its identifier"}}, false
}

// confirm puts a committed head into force everywhere and records it as accepted.
func (c *Coordinator) confirm(ctx context.Context, h head) Outcome {
	missing := c.activateEverywhere(ctx, h)
	if len(missing) > 0 {
		return Outcome{state: Committed, version: h.Version, reasons: missing}
	}
	if !h.Accepted {
		accepted, err := c.recordAccepted(ctx, h)
		if err != nil {
			return Outcome{state: Committed, version: h.Version, reasons: []string{fmt.Sprintf("in force everywhere, but the table does not know yet: %v", err)}}
		}
		c.activateEverywhere(ctx, accepted)
	}
	return Outcome{state: Accepted, version: h.Version}
}

func (c *Coordinator) activateEverywhere(ctx context.Context, h head) []string {
	ctx, cancel := context.WithTimeout(ctx, c.deadlines.Confirm)
	defer cancel()
	for {
		missing := c.activateRound(ctx, h)
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return missing
		case <-time.After(retryInterval):
		}
	}
}

func (c *Coordinator) activateRound(ctx context.Context, h head) []string {
	targets, err := c.targets(ctx)
	if err != nil {
		return []string{fmt.Sprintf("the VM list cannot be read: %v", err)}
	}
	params := activateParams{Head: h, Stamp: c.rec.Now()}
	results := eachTarget(ctx, targets, func(ctx context.Context, t Target) (activateResult, error) {
		var r activateResult
		err := t.call(ctx, methodActivate, params, &r)
		return r, err
	})
	var missing []string
	for i, t := range targets {
		switch {
		case results[i].err != nil:
			missing = append(missing, fmt.Sprintf("zone %s, process %s: %v", t.zone, t.name, results[i].err))
		case !results[i].value.atLeast(h):
			missing = append(missing, fmt.Sprintf("zone %s, process %s: still at a lower version, or at another change of this one", t.zone, t.name))
		}
	}
	slices.Sort(missing)
	return missing
}

// errOtherChange is wrapped when the table has the version of a change for another change, which happens after
// the table was restored from an older copy.
var errOtherChange = errors.New("the version is of another change")

// recordAccepted marks the head in the table as in force everywhere. The home upstreams of this version are
// valid from this time on.
func (c *Coordinator) recordAccepted(ctx context.Context, h head) (head, error) {
	stored, before, err := c.readHead(ctx)
	if err != nil {
		return h, err
	}
	switch {
	case stored.Version == h.Version && stored.Change != h.Change:
		return h, fmt.Errorf("%w: %s by %s", errOtherChange, stored.Change, stored.By)
	case stored.Version != h.Version || stored.Accepted:
		return stored, nil
	}
	stored.Accepted = true
	if stored.HomesSince == 0 {
		stored.HomesSince = c.now().UnixMilli()
	}
	write, err := writeHead(stored, before)
	if err != nil {
		return h, err
	}
	if err := c.table.Commit(ctx, write); err != nil {
		return c.recheckAccepted(ctx, h, err)
	}
	c.rec.Note(events.ChangeInForce, h.Change, "version", h.Version)
	return stored, nil
}

// recheckAccepted reads the head again after a failed write. It returns the head without an error if it is
// marked as accepted, by another process that follows the head or by a write whose reply was lost. A later
// version also proves that this one was in force everywhere, since the later one required it.
func (c *Coordinator) recheckAccepted(ctx context.Context, h head, cause error) (head, error) {
	stored, _, err := c.readHead(ctx)
	if err != nil {
		return h, errors.Join(cause, err)
	}
	if stored.Change == h.Change && stored.Accepted || stored.Version > h.Version {
		return stored, nil
	}
	return h, cause
}
