// Package rollout brings configurations into force: each change is staged at
// every process, committed by one transaction in the platform's table, and
// confirmed. A process never goes to a lower version.
package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
)

const (
	methodStage    = "config.stage"
	methodActivate = "config.activate"
	methodGet      = "config.get"
	callTimeout    = 2 * time.Second
	maxStaged      = 8
)

// pendingHomes stands for the unknown time from which homes hold while a
// change that moves them is not yet in force everywhere.
var pendingHomes = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// head is the one row that says what is committed. Times are Unix milliseconds.
type head struct {
	Version  config.Version `json:"version"`
	Hash     string         `json:"hash"`
	Change   string         `json:"change"`
	By       string         `json:"by"`
	Accepted bool           `json:"accepted"`
	// HomesSince is 0 while a change of homes is not accepted.
	HomesSince int64 `json:"homes_since"`
}

func (h head) homesSince() time.Time {
	if h.HomesSince == 0 {
		return pendingHomes
	}
	return time.UnixMilli(h.HomesSince)
}

// stageParams carries a candidate as a list of chunks, and the content of those
// that the receiver is not thought to have.
type stageParams struct {
	Change string `json:"change"`
	// Version is the one that the change is to get; 0 from an earlier release.
	Version config.Version `json:"version,omitempty"`
	Hash    string         `json:"hash"`
	Chunks  []string       `json:"chunks"`
	Parts   parts          `json:"parts"`
	Stamp   events.Stamp   `json:"stamp"`
}

type stageResult struct {
	Refused string `json:"refused,omitempty"`
	// Missing lists chunks that the receiver needs to be sent.
	Missing []string     `json:"missing,omitempty"`
	Process string       `json:"process"`
	Zone    string       `json:"zone"`
	Stamp   events.Stamp `json:"stamp"`
}

type activateParams struct {
	Head  head         `json:"head"`
	Stamp events.Stamp `json:"stamp"`
}

type activateResult struct {
	Mark config.Mark `json:"mark"`
	// Change is the one in force; empty from an earlier release.
	Change string       `json:"change,omitempty"`
	Stamp  events.Stamp `json:"stamp"`
}

// runs reports whether what an activation left in force is a head, or later.
func (r activateResult) runs(h head) bool {
	another := r.Mark.Version() == h.Version && r.Change != "" && r.Change != h.Change
	return r.Mark >= config.MarkOf(h.Version, h.Accepted) && !another
}

type getResult struct {
	Head head   `json:"head"`
	Form []byte `json:"form"`
}

// Store holds what is in force in one process.
type Store struct {
	process string
	zone    string
	rec     *events.Recorder
	// OnActivate may be set before use; it is called with each configuration
	// that comes into force, in order.
	OnActivate func(a *config.Active)
	// Validate may be set before use; it refuses a candidate that this process
	// could not run.
	Validate func(c *config.Config) error

	mu     sync.Mutex
	head   head
	active *config.Active
	staged map[string]*config.Config
	order  []string
	// known are the chunks of what is in force.
	known parts
}

// NewStore returns a Store with nothing in force.
func NewStore(process, zone string, rec *events.Recorder) *Store {
	return &Store{process: process, zone: zone, rec: rec, staged: map[string]*config.Config{}}
}

// Active returns the configuration in force, or nil.
func (s *Store) Active() *config.Active {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Mark returns the mark of what is in force.
func (s *Store) Mark() config.Mark { return s.Active().Mark() }

// Methods returns the handlers for coordinators and peers.
func (s *Store) Methods() peer.Methods {
	return peer.Methods{
		methodStage:    s.handleStage,
		methodActivate: s.handleActivate,
		methodGet:      s.handleGet,
	}
}

// stage validates a candidate in its canonical form and holds it, inert, by
// its hash.
func (s *Store) stage(form []byte) (*config.Config, error) {
	cfg, err := config.ParseCanonical(form)
	if err != nil {
		return nil, err
	}
	if s.Validate != nil {
		if err := s.Validate(cfg); err != nil {
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.staged[cfg.Hash()]; !ok {
		s.staged[cfg.Hash()] = cfg
		s.order = append(s.order, cfg.Hash())
	}
	if len(s.order) > maxStaged {
		delete(s.staged, s.order[0])
		s.order = s.order[1:]
	}
	return cfg, nil
}

func (s *Store) handleStage(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var p stageParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	s.rec.Observe(p.Stamp)
	r := s.stageParts(p)
	r.Process, r.Zone, r.Stamp = s.process, s.zone, s.rec.Now()
	return r, nil
}

func (s *Store) stageParts(p stageParams) stageResult {
	if inForce := s.Active().Version(); p.Version != 0 && p.Version <= inForce {
		// The table may have lost what it acknowledged, and give versions out again.
		return stageResult{Refused: fmt.Sprintf("version %d is in force here, the change would get version %d", inForce, p.Version)}
	}
	form, missing, err := join(p.Chunks, p.Parts, s.knownParts())
	if err != nil {
		return stageResult{Missing: missing}
	}
	cfg, err := s.stage(form)
	switch {
	case err != nil:
		return stageResult{Refused: err.Error()}
	case cfg.Hash() != p.Hash:
		return stageResult{Refused: "content does not match its hash"}
	}
	s.rec.Note(events.ChangeStaged, p.Change)
	return stageResult{}
}

// knownParts returns the chunks of what is in force.
func (s *Store) knownParts() parts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil && s.active != nil {
		s.known = partsOf(split(s.active.Config().Canonical()))
	}
	return s.known
}

// errNoSource is returned when a process cannot get the content of a version.
var errNoSource = errors.New("content of the configuration not at hand")

func (s *Store) handleActivate(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p activateParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("activate: %w", err)
	}
	s.rec.Observe(p.Stamp)
	if !s.takeStaged(p.Head) {
		if err := s.CatchUp(ctx, c); err != nil {
			return nil, err
		}
	}
	h, _ := s.inForce()
	return activateResult{Mark: config.MarkOf(h.Version, h.Accepted), Change: h.Change, Stamp: s.rec.Now()}, nil
}

func (s *Store) handleGet(context.Context, *peer.Conn, json.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		return getResult{}, nil
	}
	return getResult{Head: s.head, Form: s.active.Config().Canonical()}, nil
}

// CatchUp takes the configuration of the peer on c if it is higher than the
// own one.
func (s *Store) CatchUp(ctx context.Context, c *peer.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r getResult
	if err := c.Call(ctx, methodGet, struct{}{}, &r); err != nil {
		return err
	}
	if r.Head.Version == 0 {
		return nil
	}
	return s.takeForm(r.Head, r.Form)
}

// inForce returns the head and the configuration in force; the configuration is nil if none is.
func (s *Store) inForce() (head, *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		return head{}, nil
	}
	return s.head, s.active.Config()
}

// ahead reports whether more is known here than a head says: it is of a table that has lost what it
// acknowledged.
func (s *Store) ahead(h head) bool {
	own, cfg := s.inForce()
	return cfg != nil && (own.Version > h.Version || own.Change == h.Change && own.Accepted && !h.Accepted)
}

// takeForm brings a committed configuration into force if it is higher.
func (s *Store) takeForm(h head, form []byte) error {
	if config.MarkOf(h.Version, h.Accepted) <= s.Mark() {
		return nil
	}
	cfg, err := s.stage(form)
	if err != nil {
		return fmt.Errorf("version %d: %w", h.Version, err)
	}
	if cfg.Hash() != h.Hash {
		return fmt.Errorf("version %d: %w", h.Version, errNoSource)
	}
	s.take(h, cfg)
	return nil
}

// takeStaged is takeForm for content that is held already.
func (s *Store) takeStaged(h head) bool {
	s.mu.Lock()
	cfg, ok := s.staged[h.Hash]
	if !ok && s.active != nil && s.active.Config().Hash() == h.Hash {
		cfg, ok = s.active.Config(), true
	}
	s.mu.Unlock()
	if ok {
		s.take(h, cfg)
	}
	return ok
}

// take is the only place where a configuration comes into force. The mark
// never goes down.
func (s *Store) take(h head, cfg *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config.MarkOf(h.Version, h.Accepted) <= s.active.Mark() {
		if h.Version < s.active.Version() {
			s.rec.Note(events.ConfigStale, h.Change, "offered", h.Version, "in_force", s.active.Version())
		}
		return
	}
	fresh := h.Version > s.active.Version()
	s.head = h
	if s.active == nil || s.active.Config() != cfg {
		s.known = nil
	}
	s.active = config.NewActive(cfg, h.Version, h.Accepted, h.homesSince())
	if fresh {
		s.rec.Note(events.ConfigActivated, h.Change, "version", h.Version)
	}
	if s.OnActivate != nil {
		s.OnActivate(s.active)
	}
}
