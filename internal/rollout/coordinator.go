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
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/platform"
)

// State is where a change stands.
type State string

// The states of a change. Accepted and Refused are final.
const (
	Accepted  State = "accepted"
	Refused   State = "refused"
	Committed State = "committed"
	InDoubt   State = "unknown"
)

// Outcome is the answer to an operator's change.
type Outcome struct {
	state   State
	version config.Version
	reasons []string
}

// State returns where the change stands.
func (o Outcome) State() State { return o.state }

// Version returns the version of a committed change, or the one that won over
// a refused change.
func (o Outcome) Version() config.Version { return o.version }

// Reasons returns zone, process and cause for each thing that stands against
// the change.
func (o Outcome) Reasons() []string { return o.reasons }

// Change is what an operator submits.
type Change struct {
	// ID is unique; asking again with the same one never applies it twice.
	ID string
	// By is the operator.
	By string
	// Base is the version the operator started from.
	Base config.Version
	// Source is the whole configuration.
	Source []byte
}

// Target is one process that must agree. Call is the seam to it.
type Target struct {
	name string
	zone string
	call func(ctx context.Context, method string, params, result any) error
}

// NewTarget returns a target that is reached by call.
func NewTarget(name, zone string, call func(ctx context.Context, method string, params, result any) error) Target {
	return Target{name: name, zone: zone, call: call}
}

// TargetsOf returns the processes on the VM list that are not leaving. The list
// is read anew each time: a process that joined since must not be overlooked.
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

// Deadlines bound the steps of a change.
type Deadlines struct {
	// Stage is how long processes may take to agree before the change is
	// refused.
	Stage time.Duration
	// Confirm is how long the coordinator waits for the change to be in force
	// everywhere before it answers that it is committed.
	Confirm time.Duration
}

// DefaultDeadlines keep a change within the 17 s that users ask for.
func DefaultDeadlines() Deadlines { return Deadlines{Stage: 8 * time.Second, Confirm: 8 * time.Second} }

const (
	// noEarlierHomes is the time from which the homes of the first version
	// hold: there were none before.
	noEarlierHomes = 1

	headGroup   = "config"
	headName    = "head"
	changeGroup = "change"
	retryPause  = 100 * time.Millisecond
	readTries   = 5
)

var headKey = platform.Key{Group: headGroup, Name: headName}

// Coordinator takes changes through their steps. Any process can be one.
type Coordinator struct {
	store     *Store
	table     *platform.Table
	objects   *platform.Objects
	targets   func(ctx context.Context) ([]Target, error)
	rec       *events.Recorder
	deadlines Deadlines
	now       func() time.Time
}

// NewCoordinator returns a Coordinator; targets lists the processes that must
// agree at the time of the call.
func NewCoordinator(store *Store, table *platform.Table, objects *platform.Objects, targets func(ctx context.Context) ([]Target, error), rec *events.Recorder, deadlines Deadlines, now func() time.Time) *Coordinator {
	return &Coordinator{store: store, table: table, objects: objects, targets: targets, rec: rec, deadlines: deadlines, now: now}
}

// changeRow is the stored record of a committed change.
type changeRow struct {
	Version config.Version `json:"version"`
	By      string         `json:"by"`
	At      int64          `json:"at"`
}

// Submit takes a change through stage, commit and confirm.
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

// wonBy refuses a change because another one took its version.
func wonBy(h head) Outcome {
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
			return wonBy(later)
		}
		return Outcome{state: Refused, version: h.Version, reasons: reasons}
	}
	next := head{Version: h.Version + 1, Hash: cfg.Hash(), Change: ch.ID, By: ch.By, HomesSince: h.HomesSince}
	if h.Version == 0 {
		next.HomesSince = noEarlierHomes
	} else if active := c.store.Active(); active.Version() != h.Version || !config.SameHomes(active.Config(), cfg) {
		next.HomesSince = 0
	}
	return c.commit(ctx, next, before)
}

// putSource stores what the operator wrote and the canonical form. Writing them
// twice is harmless, so a lost reply is answered by another try.
func (c *Coordinator) putSource(ctx context.Context, cfg *config.Config) error {
	if err := c.putObject(ctx, cfg.Hash()+sourceSuffix, cfg.Source()); err != nil {
		return err
	}
	return c.putObject(ctx, cfg.Hash(), cfg.Canonical())
}

func (c *Coordinator) putObject(ctx context.Context, name string, content []byte) error {
	var err error
	for range readTries {
		if err = c.objects.Put(ctx, name, content); err == nil {
			return nil
		}
		c.rec.Note(events.PlatformFailed, "", "error", err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause + rand.N(retryPause)):
		}
	}
	return err
}

// readHead returns the head and its row, which are empty if there is none.
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
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return head{}, platform.Row{}, fmt.Errorf("head row: %w", err)
	}
	return h, r, nil
}

// writeHead is the write of a head over the row that was read.
func writeHead(h head, before platform.Row) (platform.Write, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return platform.Write{}, fmt.Errorf("head row: %w", err)
	}
	return platform.Write{Row: platform.Row{Key: headKey, Revision: before.Revision + 1, Value: value}, Was: before.Value}, nil
}

// stageEverywhere returns what stands against the change, nothing if every
// process on the list holds it. A process that does not answer is asked again
// until the deadline, since the VM list may lag behind its end.
func (c *Coordinator) stageEverywhere(ctx context.Context, ch Change, v config.Version, cfg *config.Config) []string {
	ctx, cancel := context.WithTimeout(ctx, c.deadlines.Stage)
	defer cancel()
	held := map[string]bool{}
	cand := c.candidate(ch, v, cfg)
	var last []string
	for {
		missing, refusals := c.stageRound(ctx, cand, held)
		if ctx.Err() != nil && len(last) > 0 {
			// The deadline broke this round off; the one before names who is missing.
			return last
		}
		last = missing
		if len(refusals) > 0 {
			return refusals
		}
		if len(missing) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return missing
		case <-time.After(retryPause):
		}
	}
}

// candidate is a change cut into chunks.
type candidate struct {
	params stageParams
	all    parts
}

// candidate prepares what is sent to every process: the list of chunks, and the
// content of those that are not part of what is in force here.
func (c *Coordinator) candidate(ch Change, v config.Version, cfg *config.Config) candidate {
	chunks := split(cfg.Canonical())
	cand := candidate{all: partsOf(chunks), params: stageParams{Change: ch.ID, Version: v, Hash: cfg.Hash(), Parts: parts{}}}
	known := c.store.knownParts()
	for _, k := range chunks {
		cand.params.Chunks = append(cand.params.Chunks, k.hash)
		if _, ok := known[k.hash]; !ok {
			cand.params.Parts[k.hash] = k.content
		}
	}
	return cand
}

// send stages the candidate at one process, with the chunks it lacks if it asks
// for them.
func (cand candidate) send(ctx context.Context, t Target, stamp events.Stamp) (stageResult, error) {
	params := cand.params
	params.Stamp = stamp
	var r stageResult
	if err := t.call(ctx, methodStage, params, &r); err != nil || len(r.Missing) == 0 {
		return r, err
	}
	params.Parts = parts{}
	for _, h := range r.Missing {
		params.Parts[h] = cand.all[h]
	}
	for h, b := range cand.params.Parts {
		params.Parts[h] = b
	}
	r = stageResult{}
	err := t.call(ctx, methodStage, params, &r)
	return r, err
}

func (c *Coordinator) stageRound(ctx context.Context, cand candidate, held map[string]bool) (missing, refusals []string) {
	targets, err := c.targets(ctx)
	if err != nil {
		return []string{fmt.Sprintf("the VM list cannot be read: %v", err)}, nil
	}
	var todo []Target
	for _, t := range targets {
		if !held[t.name] {
			todo = append(todo, t)
		}
	}
	stamp := c.rec.Now()
	results := eachTarget(ctx, todo, func(ctx context.Context, t Target) (stageResult, error) {
		return cand.send(ctx, t, stamp)
	})
	for i, t := range todo {
		switch {
		case results[i].err != nil:
			missing = append(missing, fmt.Sprintf("zone %s, process %s: %v", t.zone, t.name, results[i].err))
		case len(results[i].value.Missing) > 0:
			missing = append(missing, fmt.Sprintf("zone %s, process %s: %v", t.zone, t.name, errMissing))
		case results[i].value.Refused != "":
			refusals = append(refusals, fmt.Sprintf("zone %s, process %s: %s", t.zone, t.name, results[i].value.Refused))
		default:
			held[t.name] = true
		}
	}
	return missing, refusals
}

type targetResult[T any] struct {
	value T
	err   error
}

// eachTarget calls all targets at once, each with its own time limit.
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

// commit writes the head. A lost reply is settled by reading the change's own
// row, so nothing is said that is not known.
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
		return c.lostRace(ctx, next)
	default:
		c.rec.Note(events.PlatformFailed, next.Change, "error", err)
		if out, done := c.settleCommit(ctx, next); !done {
			return out
		}
	}
	c.rec.Note(events.ChangeCommitted, next.Change, "version", next.Version)
	return c.confirm(ctx, next)
}

func (c *Coordinator) lostRace(ctx context.Context, next head) Outcome {
	h, _, err := c.readHead(ctx)
	if err != nil {
		return refused(next.Version, "another change won the race for version %d", next.Version)
	}
	if h.Change == next.Change {
		return c.confirm(ctx, h)
	}
	return wonBy(h)
}

// settleCommit finds out whether a commit without a reply took effect. done is
// true if it did. A refusal is only said once the head has moved past the
// revision the commit needed, so that a late commit cannot take effect.
func (c *Coordinator) settleCommit(ctx context.Context, next head) (Outcome, bool) {
	for range readTries {
		_, err := c.table.Get(ctx, platform.Key{Group: changeGroup, Name: next.Change})
		if err == nil {
			return Outcome{}, true
		}
		if errors.Is(err, platform.ErrNotFound) {
			h, _, err := c.readHead(ctx)
			if err == nil && h.Version >= next.Version {
				return wonBy(h), false
			}
		}
		pause := retryPause + rand.N(retryPause)
		select {
		case <-ctx.Done():
			return Outcome{state: InDoubt, reasons: []string{"the table did not answer; ask for the change by its identifier"}}, false
		case <-time.After(pause):
		}
	}
	return Outcome{state: InDoubt, reasons: []string{"the table did not answer; ask for the change by its identifier"}}, false
}

// confirm brings a committed head into force everywhere and records that it is.
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
		case <-time.After(retryPause):
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
		case !results[i].value.runs(h):
			missing = append(missing, fmt.Sprintf("zone %s, process %s: still at a lower version, or at another change of this one", t.zone, t.name))
		}
	}
	slices.Sort(missing)
	return missing
}

// errOtherChange is returned for a change whose version the table has of another one: it was restored
// from a copy.
var errOtherChange = errors.New("the version is of another change")

// recordAccepted marks the head as in force everywhere; from now on keys have
// the homes of this version.
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
		return c.markedByAnother(ctx, h, err)
	}
	c.rec.Note(events.ChangeInForce, h.Change, "version", h.Version)
	return stored, nil
}

// markedByAnother looks whether the head was marked all the same: by another
// process that follows it, or by a write whose reply was lost. A later version
// needed this one to be in force everywhere first.
func (c *Coordinator) markedByAnother(ctx context.Context, h head, cause error) (head, error) {
	stored, _, err := c.readHead(ctx)
	if err != nil {
		return h, errors.Join(cause, err)
	}
	if stored.Change == h.Change && stored.Accepted || stored.Version > h.Version {
		return stored, nil
	}
	return h, cause
}
