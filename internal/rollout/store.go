// Package rollout puts configuration changes into force in all processes. A Coordinator stages a change at
// every process, commits it with one transaction in the platform's table, and confirms that it is in force
// everywhere. Each process keeps its configuration in a Store, which never goes back to a lower version.
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

// pendingHomes is the time from which the assignment of keys to home upstreams is valid while a change of
// this assignment is not yet in force everywhere, and the real time is therefore unknown. It lies in the far
// future, so that no call counts as issued after it.
var pendingHomes = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// head is the record of the committed version; the table has only one. Times are Unix milliseconds.
type head struct {
	Version  config.Version `json:"version"`
	Hash     string         `json:"hash"`
	Change   string         `json:"change"`
	By       string         `json:"by"`
	Accepted bool           `json:"accepted"`
	// HomesSince is the time since which keys have their home upstreams. It is 0 while a change of the homes
	// is not accepted yet.
	HomesSince int64 `json:"homes_since"`
}

func (h head) homesSince() time.Time {
	if h.HomesSince == 0 {
		return pendingHomes
	}
	return time.UnixMilli(h.HomesSince)
}

// stageParams carries a candidate as a list of chunk hashes, with the content of the chunks that the receiver
// probably lacks.
type stageParams struct {
	Change string `json:"change"`
	// Version is the version that the change gets when it is committed; an earlier release sends 0.
	Version       config.Version `json:"version,omitempty"`
	Hash          string         `json:"hash"`
	ChunkHashes   []string       `json:"chunks"`
	ChunkContents chunkSet       `json:"parts"`
	Stamp         events.Stamp   `json:"stamp"`
}

type stageResult struct {
	Refused string `json:"refused,omitempty"`
	// Missing lists the hashes of the chunks that the coordinator must send in addition.
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
	// Change is the ID of the change in force; an earlier release sends none.
	Change string       `json:"change,omitempty"`
	Stamp  events.Stamp `json:"stamp"`
}

// atLeast reports whether the process has head h or a later one in force. Another change with the version of
// h, as it exists after the table was restored from an older copy, does not count.
func (r activateResult) atLeast(h head) bool {
	otherChange := r.Mark.Version() == h.Version && r.Change != "" && r.Change != h.Change
	return r.Mark >= config.MarkOf(h.Version, h.Accepted) && !otherChange
}

type getResult struct {
	Head      head   `json:"head"`
	Canonical []byte `json:"form"`
}

// Store holds the configuration in force in one process, and the staged candidates.
type Store struct {
	process string
	zone    string
	rec     *events.Recorder
	// OnActivate may be set before use. It is called with each configuration that comes into force, in order.
	OnActivate func(a *config.Active)
	// Validate may be set before use. It returns an error for a candidate that this process could not run.
	Validate func(c *config.Config) error

	mu          sync.Mutex
	head        head
	active      *config.Active
	staged      map[string]*config.Config
	stagedOrder []string
	// chunks holds the chunks of the configuration in force; nil until they are needed.
	chunks chunkSet
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

// Mark returns the mark of the configuration in force.
func (s *Store) Mark() config.Mark { return s.Active().Mark() }

// Methods returns the handlers for the calls of coordinators and peers.
func (s *Store) Methods() peer.Methods {
	return peer.Methods{
		methodStage:    s.handleStage,
		methodActivate: s.handleActivate,
		methodGet:      s.handleGet,
	}
}

// stage validates a candidate in its canonical form and keeps it by its hash, without putting it into force.
func (s *Store) stage(canonical []byte) (*config.Config, error) {
	cfg, err := config.ParseCanonical(canonical)
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
		s.stagedOrder = append(s.stagedOrder, cfg.Hash())
	}
	if len(s.stagedOrder) > maxStaged {
		delete(s.staged, s.stagedOrder[0])
		s.stagedOrder = s.stagedOrder[1:]
	}
	return cfg, nil
}

func (s *Store) handleStage(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var p stageParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("stage: %w", err)
	}
	s.rec.Observe(p.Stamp)
	r := s.stageChunks(p)
	r.Process, r.Zone, r.Stamp = s.process, s.zone, s.rec.Now()
	return r, nil
}

func (s *Store) stageChunks(p stageParams) stageResult {
	if inForce := s.Active().Version(); p.Version != 0 && p.Version <= inForce {
		// A table that was restored from an older copy may assign a version a second time.
		return stageResult{Refused: fmt.Sprintf("version %d is in force here, the change would get version %d", inForce, p.Version)}
	}
	canonical, missing, err := join(p.ChunkHashes, p.ChunkContents, s.activeChunks())
	if err != nil {
		return stageResult{Missing: missing}
	}
	cfg, err := s.stage(canonical)
	switch {
	case err != nil:
		return stageResult{Refused: err.Error()}
	case cfg.Hash() != p.Hash:
		return stageResult{Refused: "content does not match its hash"}
	}
	s.rec.Note(events.ChangeStaged, p.Change)
	return stageResult{}
}

// activeChunks returns the chunks of the configuration in force.
func (s *Store) activeChunks() chunkSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil && s.active != nil {
		s.chunks = newChunkSet(split(s.active.Config().Canonical()))
	}
	return s.chunks
}

// errHashMismatch is wrapped when the content received for a version does not have the hash in its head.
var errHashMismatch = errors.New("content of the configuration not at hand")

func (s *Store) handleActivate(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p activateParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("activate: %w", err)
	}
	s.rec.Observe(p.Stamp)
	if !s.activateStaged(p.Head) {
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
	return getResult{Head: s.head, Canonical: s.active.Config().Canonical()}, nil
}

// CatchUp fetches the configuration of the peer on c and puts it into force if its mark is higher.
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
	return s.activateCanonical(r.Head, r.Canonical)
}

// inForce returns the head and the configuration in force. The configuration is nil if none is in force.
func (s *Store) inForce() (head, *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active == nil {
		return head{}, nil
	}
	return s.head, s.active.Config()
}

// aheadOf reports whether the state in force here is later than h. The table has then lost commits that it
// acknowledged, for example in a restore from an older copy.
func (s *Store) aheadOf(h head) bool {
	own, cfg := s.inForce()
	return cfg != nil && (own.Version > h.Version || own.Change == h.Change && own.Accepted && !h.Accepted)
}

// activateCanonical puts the canonical form of a committed version into force if its mark is higher.
func (s *Store) activateCanonical(h head, canonical []byte) error {
	if config.MarkOf(h.Version, h.Accepted) <= s.Mark() {
		return nil
	}
	cfg, err := s.stage(canonical)
	if err != nil {
		return fmt.Errorf("version %d: %w", h.Version, err)
	}
	if cfg.Hash() != h.Hash {
		return fmt.Errorf("version %d: %w", h.Version, errHashMismatch)
	}
	s.activate(h, cfg)
	return nil
}

// activateStaged is like activateCanonical for content that is staged or already in force here. It returns
// false if the content is not available here.
func (s *Store) activateStaged(h head) bool {
	s.mu.Lock()
	cfg, ok := s.staged[h.Hash]
	if !ok && s.active != nil && s.active.Config().Hash() == h.Hash {
		cfg, ok = s.active.Config(), true
	}
	s.mu.Unlock()
	if ok {
		s.activate(h, cfg)
	}
	return ok
}

// activate puts a configuration into force unless its mark is not higher than the current one. Every
// activation goes through this method, so the mark never decreases.
func (s *Store) activate(h head, cfg *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if config.MarkOf(h.Version, h.Accepted) <= s.active.Mark() {
		if h.Version < s.active.Version() {
			s.rec.Note(events.ConfigStale, h.Change, "offered", h.Version, "in_force", s.active.Version())
		}
		return
	}
	isNewer := h.Version > s.active.Version()
	s.head = h
	if s.active == nil || s.active.Config() != cfg {
		s.chunks = nil
	}
	s.active = config.NewActive(cfg, h.Version, h.Accepted, h.homesSince())
	if isNewer {
		s.rec.Note(events.ConfigActivated, h.Change, "version", h.Version)
	}
	if s.OnActivate != nil {
		s.OnActivate(s.active)
	}
}
