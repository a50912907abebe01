package originstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/platform"
)

const retention = 10 * time.Minute

var errAway = errors.New("the store is away")

// deployment is some entries that share a store.
type deployment struct {
	ready chan struct{}

	mu    sync.Mutex
	began time.Time
	// clock is the store's clock at the start.
	clock    time.Duration
	rows     map[string]platform.Record
	version  int64
	away     bool
	reads    int
	writes   int
	names    []string
	software []string
	followed time.Time
	epoch    int64
	// first is set if the entries that start are the first that ever ran.
	first bool
	// beforeRemoval is called before a row is removed.
	beforeRemoval func()
}

func newDeployment(software ...string) *deployment {
	d := &deployment{ready: make(chan struct{}), began: time.Now(), clock: time.Hour, rows: map[string]platform.Record{}, software: software, followed: time.Now(), beforeRemoval: func() {}}
	close(d.ready)
	return d
}

// callTime is how long a call to the store takes.
const callTime = 5 * time.Millisecond

func (d *deployment) write(name string, value []byte) error {
	time.Sleep(callTime)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes++
	if d.away {
		return errAway
	}
	d.version++
	d.rows[name] = platform.Record{Name: name, Value: value, Version: d.version}
	if value == nil {
		delete(d.rows, name)
	}
	return nil
}

func (d *deployment) store() *platform.Store {
	return &platform.Store{
		List: func(context.Context, string) (platform.Snapshot, error) {
			time.Sleep(callTime)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.reads++
			if d.away {
				return platform.Snapshot{}, errAway
			}
			s := platform.Snapshot{Records: slices.Collect(maps.Values(d.rows)), Clock: d.clock + time.Since(d.began), Epoch: d.epoch}
			d.mu.Unlock()
			time.Sleep(callTime)
			d.mu.Lock()
			return s, nil
		},
		Put: func(_ context.Context, _, name string, value []byte) error { return d.write(name, value) },
		Remove: func(_ context.Context, _ string, names ...string) error {
			for _, name := range names {
				if err := d.write(name, nil); err != nil {
					return err
				}
			}
			return nil
		},
		RemoveVersion: func(_ context.Context, _, name string, version int64) error {
			var before func()
			d.locked(func() { before = d.beforeRemoval })
			before()
			var stored int64
			d.locked(func() { stored = d.rows[name].Version })
			if stored != version {
				return platform.ErrConflict
			}
			return d.write(name, nil)
		},
	}
}

// start starts an entry; own returns its streams. stop kills it.
func (d *deployment) start(t *testing.T, name string, own func() []origin.Stream) (k *Keeper, stop func()) {
	k = New(Settings{Table: "origins", Name: name, Incarnation: "1", TickInterval: 50 * time.Millisecond, CallTimeout: time.Second, Retention: retention, FirstDeployment: d.first},
		d.store(), Fleet{
			Software: func() map[string][]string {
				d.mu.Lock()
				defer d.mu.Unlock()
				return map[string][]string{"llm": d.software}
			},
			FollowedSince: func() (since time.Time, ok bool) {
				d.locked(func() { since = d.followed })
				return since, true
			},
		}, Peers{
			Known: func() (names []string) {
				d.locked(func() { names = slices.Clone(d.names) })
				return slices.DeleteFunc(names, func(other string) bool { return other == name })
			},
			Ready: d.ready,
			StoreInterval: func() (interval time.Duration) {
				d.locked(func() { interval = max(time.Second, time.Duration(len(d.names))*25*time.Millisecond) })
				return interval
			},
		}, own, events.Nop(), time.Now)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { k.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	return k, stop
}

// locked calls f while no entry uses the deployment.
func (d *deployment) locked(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *deployment) setSoftware(software ...string) { d.locked(func() { d.software = software }) }

func (d *deployment) setAway(away bool) { d.locked(func() { d.away = away }) }

// has reports whether a row is there.
func (d *deployment) has(row string) (there bool) {
	d.locked(func() { _, there = d.rows[row] })
	return there
}

// calls returns the numbers of reads and writes since the last call.
func (d *deployment) calls() (reads, writes int) {
	d.locked(func() { reads, writes, d.reads, d.writes = d.reads, d.writes, 0, 0 })
	return reads, writes
}

func stream(request, software string, d time.Duration) origin.Stream {
	return origin.Stream{Key: origin.KeyOf(request), Origin: origin.Origin{Service: "llm", Software: software}, Until: time.Now().Add(d)}
}

// keptFor stands for any time for which the table has been kept.
const keptFor = time.Second

func none() []origin.Stream { return nil }

// TestStreamsOfLostEntries guards against streams that nobody knows once all entries have been killed.
func TestStreamsOfLostEntries(t *testing.T) {
	for _, tc := range []struct {
		name     string
		software []string
		disturb  func(d *deployment)
		later    time.Duration
		want     Stored
		err      error
	}{
		{"two versions", []string{"v1", "v2"}, func(*deployment) {}, time.Second, Stored{Origin: origin.Origin{Service: "llm", Software: "v1"}, Known: true, Versions: []string{"v1", "v2"}, KeptFor: keptFor}, nil},
		{"the stream can no longer be resumed", []string{"v1", "v2"}, func(*deployment) {}, 20 * time.Second, Stored{Versions: []string{"v1", "v2"}, KeptFor: keptFor}, nil},
		{"one version", []string{"v1"}, func(*deployment) {}, time.Second, Stored{Versions: []string{"v1"}, KeptFor: keptFor}, nil},
		{"the rows of streams are spoilt", []string{"v1", "v2"}, func(d *deployment) { d.spoil(streamsPrefix) }, time.Second, Stored{Versions: []string{"v1", "v2"}, KeptFor: keptFor}, nil},
		{"the rows of versions are spoilt", []string{"v1"}, func(d *deployment) { d.spoil(softwarePrefix) }, time.Second, Stored{}, nil},
		{"a row has no name", []string{"v1"}, func(d *deployment) { d.locked(func() { d.rows[""] = platform.Record{} }) }, time.Second, Stored{Versions: []string{"v1"}}, nil},
		{"the store is away", []string{"v1"}, func(d *deployment) { d.setAway(true) }, time.Second, Stored{}, errAway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(tc.software...)
				s := stream("r", "v1", 15*time.Second)
				_, kill := d.start(t, "entry-1", func() []origin.Stream { return []origin.Stream{s} })
				time.Sleep(2 * time.Second)
				kill()
				tc.disturb(d)
				time.Sleep(tc.later)
				k := New(Settings{Name: "entry-1", CallTimeout: time.Second}, d.store(), Fleet{}, Peers{Known: func() []string { return nil }}, none, events.Nop(), time.Now)
				got, err := k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Time{})
				got.AsOf = time.Time{}
				if got.KeptFor > 0 {
					got.KeptFor = keptFor
				}
				if !errors.Is(err, tc.err) || fmt.Sprint(got) != fmt.Sprint(tc.want) {
					t.Errorf("%+v, %v; want %+v, %v", got, err, tc.want, tc.err)
				}
			})
		})
	}
}

// spoil makes the rows of a kind unreadable.
func (d *deployment) spoil(prefix string) {
	d.locked(func() {
		for name, r := range d.rows {
			if strings.HasPrefix(name, prefix) {
				r.Value = []byte{0xff}
				d.rows[name] = r
			}
		}
	})
}

// TestStreamsWaitForTheRowOfTheirVersion guards against streams of a version that no process can learn of after a
// loss of all entries.
func TestStreamsWaitForTheRowOfTheirVersion(t *testing.T) {
	for _, tc := range []struct {
		name string
		away bool
		took time.Duration
	}{
		{"the store answers", false, 3 * callTime},
		{"the store is away", true, confirmTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment("v1")
				k, _ := d.start(t, "entry-1", none)
				time.Sleep(time.Second)
				d.setAway(tc.away)
				d.setSoftware("v1", "v2")
				began, o := time.Now(), origin.Origin{Service: "llm", Software: "v2"}
				if ok := k.Confirm(t.Context(), o); ok == tc.away || time.Since(began) != tc.took {
					t.Errorf("%v after %s", ok, time.Since(began))
				}
				if stored := d.has(softwareRow(o)); stored == tc.away {
					t.Errorf("the row is there: %v", stored)
				}
				again := time.Now()
				k.Confirm(t.Context(), o)
				if time.Since(again) > 0 {
					t.Errorf("a later stream waited %s", time.Since(again))
				}
				d.setAway(false)
				time.Sleep(2 * maxRetryDelay)
				if !d.has(softwareRow(o)) {
					t.Error("the row is not written once the store is back")
				}
			})
		})
	}
}

// TestFirstStreamsOfANewVersion guards against streams that go on without the row of their version, which another
// entry has written meanwhile.
func TestFirstStreamsOfANewVersion(t *testing.T) {
	for _, entries := range []int{4, 30, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment("v1")
				var keepers []*Keeper
				for i := range entries {
					d.names = append(d.names, fmt.Sprint("entry-", i))
				}
				for _, name := range d.names {
					k, _ := d.start(t, name, none)
					keepers = append(keepers, k)
				}
				time.Sleep(5 * time.Second)
				d.calls()
				d.setSoftware("v1", "v2")
				var streams sync.WaitGroup
				for i, k := range keepers {
					streams.Go(func() {
						time.Sleep(time.Duration(i%100) * time.Millisecond)
						began := time.Now()
						if ok := k.Confirm(t.Context(), origin.Origin{Service: "llm", Software: "v2"}); !ok || time.Since(began) > confirmTimeout/2 {
							t.Errorf("%v after %s", ok, time.Since(began))
						}
					})
				}
				streams.Wait()
				if reads, writes := d.calls(); reads > 4*entries || writes > 1 {
					t.Errorf("%d reads, %d writes", reads, writes)
				}
			})
		})
	}
}

// TestCallsToTheStore bounds the calls of all entries together.
func TestCallsToTheStore(t *testing.T) {
	for _, entries := range []int{4, 30, 300} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment("v1")
				for i := range entries {
					d.names = append(d.names, fmt.Sprint("entry-", i))
				}
				for i := range entries {
					d.start(t, fmt.Sprint("entry-", i), func() []origin.Stream {
						return []origin.Stream{stream(fmt.Sprint(i, time.Now().Unix()), "v1", time.Minute)}
					})
				}
				time.Sleep(5 * time.Second)
				reads, writes := d.calls()
				t.Logf("start: %d reads, %d writes", reads, writes)
				if reads > 2*entries || writes > 2 {
					t.Errorf("start: %d reads, %d writes", reads, writes)
				}
				time.Sleep(10 * time.Second)
				if reads, writes := d.calls(); reads+writes > 0 {
					t.Errorf("one version: %d reads, %d writes", reads, writes)
				}
				d.setSoftware("v1", "v2")
				time.Sleep(20 * time.Second)
				reads, writes = d.calls()
				perSecond := float64(writes) / 20
				t.Logf("two versions: %d reads, %.1f writes a second", reads, perSecond)
				if reads > 2*entries || perSecond > 42 {
					t.Errorf("two versions: %d reads, %.1f writes a second", reads, perSecond)
				}
			})
		})
	}
}

// TestVersionsThatAreGone checks who removes the row of a version, and when.
func TestVersionsThatAreGone(t *testing.T) {
	row := softwareRow(origin.Origin{Service: "llm", Software: "v1"})
	for _, tc := range []struct {
		name    string
		disturb func(d *deployment)
		after   time.Duration
		want    bool
	}{
		{"for a short time", func(*deployment) {}, removalMargin / 2, true},
		{"for long", func(*deployment) {}, 2 * removalMargin, false},
		{"for long by an entry that has just started", func(d *deployment) { d.locked(func() { d.followed = time.Now() }) }, 2 * removalMargin, true},
		{"for long and it is back", func(d *deployment) {
			time.AfterFunc(2*removalMargin, func() { d.setSoftware("v1", "v2") })
		}, 3 * removalMargin, true},
		{"and it is back at the moment of the removal", func(d *deployment) {
			d.locked(func() { d.beforeRemoval = func() { _ = d.write(row, []byte("written again")) } })
		}, 2 * removalMargin, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment("v1", "v2")
				d.start(t, "entry-1", none)
				time.Sleep(retention + removalMargin)
				// The fleet forgets the version once the retention is over.
				d.setSoftware("v2")
				tc.disturb(d)
				time.Sleep(tc.after)
				if there := d.has(row); there != tc.want {
					t.Errorf("the row is there: %v, want %v", there, tc.want)
				}
			})
		})
	}
}

// TestTableThatWasJustBegun guards against versions that count as all there are although the table has been kept
// for a shorter time than a stream runs.
func TestTableThatWasJustBegun(t *testing.T) {
	for _, tc := range []struct {
		name    string
		first   bool
		restore bool
		clock   time.Duration
		want    time.Duration
	}{
		{"by an entry that was upgraded", false, false, time.Hour, 59 * time.Second},
		{"by the first entry that ever ran", true, false, time.Hour, time.Hour},
		{"by the first entry that ever ran, on a store that has just started", true, false, 0, retention},
		{"after the store was restored while no entry ran", true, true, time.Hour, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment("v1")
				d.first, d.clock = tc.first, tc.clock
				_, kill := d.start(t, "entry-1", none)
				time.Sleep(time.Minute)
				kill()
				if tc.restore {
					d.locked(func() { d.epoch++ })
				}
				k := New(Settings{Name: "entry-1", CallTimeout: time.Second}, d.store(), Fleet{}, Peers{Known: func() []string { return nil }}, none, events.Nop(), time.Now)
				got, err := k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Time{})
				if err != nil || got.KeptFor.Truncate(time.Second) < tc.want || got.KeptFor > tc.want+2*time.Minute {
					t.Errorf("%+v, %v; want %s", got, err, tc.want)
				}
			})
		})
	}
}

// TestRowsThatCannotBeUsed checks that versions of any length have usable rows, and that rows which are spoilt are
// removed, or the versions in the store never prove anything again.
func TestRowsThatCannotBeUsed(t *testing.T) {
	long := strings.Repeat("v", 1<<10)
	for _, tc := range []struct {
		name     string
		software string
		disturb  func(d *deployment)
	}{
		{"a long version", long, func(*deployment) {}},
		{"a spoilt row", "v1", func(d *deployment) {
			d.locked(func() {
				d.version++
				d.rows[softwarePrefix+"0"] = platform.Record{Name: softwarePrefix + "0", Value: []byte{0xff}, Version: d.version}
			})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(tc.software)
				tc.disturb(d)
				k, _ := d.start(t, "entry-1", none)
				time.Sleep(retention + 2*removalMargin)
				got, err := k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Now())
				if err != nil || len(got.Versions) != 1 || got.Versions[0] != tc.software || got.KeptFor < retention {
					t.Errorf("%d versions, kept for %s, %v", len(got.Versions), got.KeptFor, err)
				}
			})
		})
	}
}

// TestExpiredRowIsWrittenAgain guards against streams that are lost because another entry removes the row that held
// only expired ones when it was read.
func TestExpiredRowIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment("v1", "v2")
		row := streamsPrefix + "entry-2/1"
		value, err := encodeStreams(nil, nil)
		if err != nil || d.write(row, value) != nil {
			t.Fatal(err)
		}
		d.beforeRemoval = func() { _ = d.write(row, []byte("new streams")) }
		d.start(t, "entry-1", none)
		time.Sleep(2 * time.Second)
		if !d.has(row) {
			t.Error("the row with new streams is removed")
		}
	})
}

// TestRowsAreWrittenAgainAfterARestore checks that a store that was restored from a backup gets the rows again.
func TestRowsAreWrittenAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment("v1", "v2")
		s := stream("r", "v1", time.Minute)
		k, _ := d.start(t, "entry-1", func() []origin.Stream { return []origin.Stream{s} })
		time.Sleep(2 * time.Second)
		// A read is under way.
		go func() { _, _ = k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Now()) }()
		time.Sleep(callTime + callTime/2)
		var before, after []string
		d.locked(func() {
			before = slices.Sorted(maps.Keys(d.rows))
			clear(d.rows)
		})
		k.Restored()
		k.Confirm(t.Context(), s.Origin)
		time.Sleep(2 * time.Second)
		d.locked(func() { after = slices.Sorted(maps.Keys(d.rows)) })
		if len(after) != 4 || !slices.Equal(before, after) {
			t.Errorf("before %q, after %q", before, after)
		}
	})
}

// TestReadsWhileTheStoreIsAway checks that callers that come back often do not each call the store, and get what it
// had when they asked.
func TestReadsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment("v1")
		d.setAway(true)
		k := New(Settings{Name: "entry-1", CallTimeout: time.Second}, d.store(), Fleet{}, Peers{Known: func() []string { return nil }}, none, events.Nop(), time.Now)
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			if _, err := k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Time{}); err == nil {
				t.Fatal("no error")
			}
		}
		if reads, _ := d.calls(); reads > 8 {
			t.Errorf("%d reads in 10 s", reads)
		}
		d.setAway(false)
		time.Sleep(maxRetryDelay)
		if _, err := k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Time{}); err != nil {
			t.Errorf("once the store is back: %v", err)
		}
		d.calls()
		for range 10 {
			if found, err := k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Now()); err != nil || found.AsOf.Before(time.Now().Add(-2*callTime)) {
				t.Errorf("%+v, %v", found, err)
			}
			_, _ = k.Find(t.Context(), origin.KeyOf("r"), "llm", time.Time{})
		}
		if reads, _ := d.calls(); reads != 10 {
			t.Errorf("%d reads for 10 views of the upstreams that are later than the last read, want 10", reads)
		}
	})
}
