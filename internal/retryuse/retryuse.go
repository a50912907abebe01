// Package retryuse carries an entry's use of the retry budgets over to its next process. A budget bounds
// the extra attempts in a sliding window, so a process that started with an empty window would spend the
// share of the entry once more. The gateway daemon runs one Keeper. After the start it asks the other
// entries what they have heard of earlier processes, and reads what those stored; the other entries know
// the latest use, the store covers a loss of all entries at once. While extra attempts are made, the Keeper
// stores them.
package retryuse

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routing"
)

// Settings holds the fixed parameters of a Keeper.
type Settings struct {
	// Table is the table of the store that holds a row for each entry that made extra attempts.
	Table string
	// Name and Incarnation identify this entry and its process.
	Name        string
	Incarnation string
	// Window is the window of the retry budgets.
	Window time.Duration
	// TickInterval is the time between two checks for extra attempts to store, and between two rounds in
	// which the other entries are asked.
	TickInterval time.Duration
	// CallTimeout bounds a call to the store, AskTimeout one to another entry.
	CallTimeout time.Duration
	AskTimeout  time.Duration
	// FirstDeployment is set if no entry ever ran before.
	FirstDeployment bool
}

// Budgets gives access to the retry budgets of this entry, by service.
type Budgets struct {
	// Usage returns what this entry has used, earlier processes included.
	Usage func() map[string]routing.Usage
	// Restore records what earlier processes used, and Restored that this is complete.
	Restore  func(used map[string][]routing.Bucket)
	Restored func()
	// PeerUsage returns what the processes of an entry before the given one have used, and whether that
	// is complete.
	PeerUsage func(name, incarnation string) (map[string][]routing.Bucket, bool)
}

// Peers gives access to the other entries.
type Peers struct {
	// Names returns the entries to ask. Ready is closed once they are known.
	Names func() []string
	Ready <-chan struct{}
	// Call calls a method of an entry.
	Call func(ctx context.Context, name, method string, params, result any) error
	// StoreInterval returns the least time between two writes of this entry to the store. It grows with
	// the number of entries.
	StoreInterval func() time.Duration
}

// Keeper carries the use of the retry budgets from one process of an entry to the next.
type Keeper struct {
	settings Settings
	store    *platform.Store
	peers    Peers
	budgets  Budgets
	rec      *events.Recorder
	now      func() time.Time

	// clock is the store's monotonic clock at the last read, and clockAt the local time at which that read
	// began, so that stored use never looks older than it is; zero before the first one.
	clock   time.Duration
	clockAt time.Time
	// stored holds, by service, the extra attempts of this process at the last write, which was at storedAt.
	stored   map[string]int
	storedAt time.Time
	// asking is done once the other entries are not asked any more.
	asking sync.WaitGroup
}

// New returns a Keeper; Run starts its work.
func New(settings Settings, store *platform.Store, peers Peers, budgets Budgets, rec *events.Recorder, now func() time.Time) *Keeper {
	return &Keeper{settings: settings, store: store, peers: peers, budgets: budgets, rec: rec, now: now, stored: map[string]int{}}
}

// Run restores the use of earlier processes and stores that of this one until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.settings.FirstDeployment {
		k.budgets.Restored()
	} else {
		k.restore(ctx)
	}
	for ; ctx.Err() == nil; k.sleep(ctx) {
		k.storeUse(ctx)
	}
}

func (k *Keeper) sleep(ctx context.Context) {
	t := time.NewTimer(k.settings.TickInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// restore asks the other entries for the use of earlier processes, then the store if none of them knows it. If
// neither does, it goes on asking the other entries until the use is out of the window.
func (k *Keeper) restore(ctx context.Context) {
	end := k.now().Add(k.settings.Window)
	k.awaitPeers(ctx, end)
	if _, told := k.askPeers(ctx); told {
		k.budgets.Restored()
		return
	}
	known := k.restoreStored(ctx)
	k.asking.Go(func() { k.restoreFromPeers(ctx, end, known) })
}

// awaitPeers waits until there are other entries to ask, or it is known that there are none, until end at most.
func (k *Keeper) awaitPeers(ctx context.Context, end time.Time) {
	for k.now().Before(end) && ctx.Err() == nil && len(k.peers.Names()) == 0 {
		select {
		case <-k.peers.Ready:
			return
		default:
			k.sleep(ctx)
		}
	}
}

// restoreFromPeers asks the other entries until one knows the use of earlier processes, or until end. If the
// store knows it, one answer is enough: it may tell of later use.
func (k *Keeper) restoreFromPeers(ctx context.Context, end time.Time, known bool) {
	for k.now().Before(end) && ctx.Err() == nil {
		asked, told := k.askPeers(ctx)
		if told {
			k.budgets.Restored()
		}
		if told || known && asked {
			return
		}
		k.sleep(ctx)
	}
}

// bucket is a routing.Bucket in a row or a message: the age in ms, the requests and the extra attempts.
type bucket [3]int64

func encode(buckets []routing.Bucket) []bucket {
	out := make([]bucket, 0, len(buckets))
	for _, b := range buckets {
		out = append(out, bucket{b.Age.Milliseconds(), int64(b.Requests), int64(b.Extra)})
	}
	return out
}

// maxCount bounds a count of another process, and maxAgeMS an age: larger ones are not plausible.
const (
	maxCount = 1_000_000
	maxAgeMS = 3_600_000
)

// decode decodes buckets that are older than told by a time. Implausible ones are left out.
func decode(in []bucket, older time.Duration) []routing.Bucket {
	var out []routing.Bucket
	for _, b := range in {
		if b[0] < 0 || b[0] > maxAgeMS || b[1] < 0 || b[1] > maxCount || b[2] < 0 || b[2] > maxCount {
			continue
		}
		out = append(out, routing.Bucket{Age: time.Duration(b[0])*time.Millisecond + older, Use: routing.Use{Requests: int(b[1]), Extra: int(b[2])}})
	}
	return out
}

// total returns the sum over all services and buckets.
func total(used map[string][]routing.Bucket) (sum routing.Use) {
	for _, buckets := range used {
		for _, b := range buckets {
			sum.Requests += b.Requests
			sum.Extra += b.Extra
		}
	}
	return sum
}

// storedRow is the row of an entry.
type storedRow struct {
	// AtMS is the time of the write on the store's monotonic clock.
	AtMS int64               `json:"at_ms"`
	Used map[string][]bucket `json:"used"`
}

// restoreStored reads the table and restores what earlier processes of this entry stored. It reports whether
// the store answered. It is called once: an earlier process that did not reach the store has used more than it
// stored.
func (k *Keeper) restoreStored(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	s, err := k.readTable(ctx)
	if err != nil {
		k.rec.Note(events.RetryUseRestored, "", "source", "store", "error", err)
		return false
	}
	var used map[string][]routing.Bucket
	var expired []string
	rejected := 0
	for _, r := range s.Records {
		row, err := decodeRow(r.Value)
		age := s.Clock - time.Duration(row.AtMS)*time.Millisecond
		switch {
		case err != nil:
			if rejected++; rejected > maxBadRowLogs {
				continue
			}
			k.rec.Note(events.RetryUseRestored, "", "source", "store", "row", events.Excerpt(r.Name, maxExcerptBytes), "error", err)
		case r.Name == k.settings.Name:
			used = decodeUsed(row.Used, max(age, 0))
		case age > removeAfter*k.settings.Window:
			expired = append(expired, r.Name)
		}
	}
	k.apply("store", used, true)
	k.budgets.Restored()
	if len(expired) > 0 {
		// Rows that cannot be removed now are removed by the next entry that starts.
		_ = k.store.Remove(ctx, k.settings.Table, expired[:min(len(expired), maxRemoved)]...)
	}
	return true
}

const (
	// maxExcerptBytes limits how much of a row's name is logged.
	maxExcerptBytes = 128
	// maxBadRowLogs limits the log lines about rows that cannot be used.
	maxBadRowLogs = 20
	// removeAfter is the number of windows after which a row is removed.
	removeAfter = 10
	// maxRemoved is the number of rows that one call removes.
	maxRemoved = 100
)

// readTable reads the table and the store's clock.
func (k *Keeper) readTable(ctx context.Context) (platform.Snapshot, error) {
	sent := k.now()
	s, err := k.store.List(ctx, k.settings.Table)
	if err == nil {
		k.clock, k.clockAt = s.Clock, sent
	}
	return s, err
}

func decodeRow(value []byte) (row storedRow, err error) {
	if err := jsonbound.Unmarshal(value, jsonbound.MaxRowBytes, &row); err != nil {
		return storedRow{}, fmt.Errorf("row of the use of retry budgets: %s", events.Excerpt(err.Error(), maxExcerptBytes))
	}
	return row, nil
}

func decodeUsed(in map[string][]bucket, older time.Duration) map[string][]routing.Bucket {
	out := make(map[string][]routing.Bucket, len(in))
	for service, buckets := range in {
		out[service] = decode(buckets, older)
	}
	return out
}

// apply restores what a source told.
func (k *Keeper) apply(source string, used map[string][]routing.Bucket, complete bool) {
	k.budgets.Restore(used)
	sum := total(used)
	k.rec.Note(events.RetryUseRestored, "", "source", source, "complete", complete, "requests", sum.Requests, "extra", sum.Extra)
}

const (
	// storeFrom is the part of an entry's share of a budget from which its use is stored. Less is covered by
	// what entries leave of the budgets, and usual failures cost no calls.
	storeFrom = 0.4
	// storeGrowth is the part of the share after which the use is stored again.
	storeGrowth = 0.2
)

// growth returns the number of extra attempts after which a use is stored again.
func growth(u routing.Usage) int { return max(int(storeGrowth*u.Share), 1) }

// storeUse stores the use of this entry if much of a budget is used, it has grown since the last write, and
// the next write is due. A failed write is repeated with the next check.
func (k *Keeper) storeUse(ctx context.Context) {
	usage, due := k.budgets.Usage(), false
	for service, u := range usage {
		due = due || float64(u.Extra()) >= storeFrom*u.Share && u.Taken-k.stored[service] >= growth(u)
	}
	if !due || k.now().Sub(k.storedAt) < k.peers.StoreInterval() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.settings.CallTimeout)
	defer cancel()
	err := k.write(ctx, usage)
	k.storedAt = k.now()
	if err != nil {
		k.rec.Note(events.RetryUseStoreFailed, "", "error", err)
		return
	}
	for service, u := range usage {
		k.stored[service] = u.Taken
	}
}

// write writes the row of this entry. It counts the extra attempts that may follow until the next write.
func (k *Keeper) write(ctx context.Context, usage map[string]routing.Usage) error {
	if k.clockAt.IsZero() {
		if _, err := k.readTable(ctx); err != nil {
			return err
		}
	}
	row := storedRow{AtMS: (k.clock + k.now().Sub(k.clockAt)).Milliseconds(), Used: map[string][]bucket{}}
	for service, u := range usage {
		row.Used[service] = encode(u.Buckets)
		if u.Taken > k.stored[service] {
			row.Used[service] = append(row.Used[service], bucket{0, 0, int64(growth(u))})
		}
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return k.store.Put(ctx, k.settings.Table, k.settings.Name, value)
}

// methodUsage is the method by which an entry asks another one for the use of its earlier processes.
const methodUsage = "retries.usage"

type usageParams struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

type usageAnswer struct {
	Used     map[string][]bucket `json:"used"`
	Complete bool                `json:"complete"`
}

// Methods returns the handlers for the calls of other entries.
func (k *Keeper) Methods() peer.Methods {
	return peer.Methods{methodUsage: func(_ context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
		var p usageParams
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, err
		}
		used, complete := k.budgets.PeerUsage(p.Name, p.Incarnation)
		a := usageAnswer{Used: map[string][]bucket{}, Complete: complete}
		for service, buckets := range used {
			a.Used[service] = encode(buckets)
		}
		return a, nil
	}}
}

// maxAsked is the number of entries that are asked at once.
const maxAsked = 4

// askPeers asks some entries at once and restores what they tell. asked is set if one of them answered, and
// told if one knows all that was used.
func (k *Keeper) askPeers(ctx context.Context) (asked, told bool) {
	ctx, cancel := context.WithTimeout(ctx, k.settings.AskTimeout)
	defer cancel()
	names := k.peers.Names()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, name := range names[:min(len(names), maxAsked)] {
		calls.Go(func() {
			var a usageAnswer
			if err := k.peers.Call(ctx, name, methodUsage, usageParams{Name: k.settings.Name, Incarnation: k.settings.Incarnation}, &a); err != nil {
				k.rec.Note(events.RetryUseRestored, "", "source", name, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			k.apply(name, decodeUsed(a.Used, 0), a.Complete)
			asked, told = true, told || a.Complete
		})
	}
	calls.Wait()
	return asked, told
}
