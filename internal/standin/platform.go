// Package standin simulates the systems around this one: the table store, object store and VM list of the
// platform, the users' record store, a model engine, a plain service and a TCP proxy. Tests run them in
// process, and the demo runs them through the sparshore-standin command. They inject faults on request; all
// but the record store speak the published protocols over loopback.
package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Platform simulates the table store, the object store and the VM list.
type Platform struct {
	now func() time.Time

	mu     sync.Mutex
	faults platformFaults
	items  map[string]map[string]dynamoItem
	// backup is the copy of items that a restore brings back.
	backup  map[string]map[string]dynamoItem
	objects map[string][]byte
	vms     map[string]vmChange
	counts  map[string]int
}

// platformFaults are the faults to inject, set by PUT /control/faults.
type platformFaults struct {
	// Outage rejects all calls to the table store and the object store.
	Outage bool `json:"outage"`
	// VMOutage rejects all reads of the VM list.
	VMOutage bool `json:"vm_outage"`
	// DelayMS delays each call to the table store and the object store.
	DelayMS int `json:"delay_ms"`
	// LoseReplies is the number of table writes that take effect but get no reply. LoseObjectReplies is
	// the same for the object store.
	LoseReplies       int `json:"lose_replies"`
	LoseObjectReplies int `json:"lose_object_replies"`
	// VMLagMS is the delay before a change of a VM appears in the list.
	VMLagMS int `json:"vm_lag_ms"`
}

// vmChange is the state of a VM from visibleAt on. Until then the list shows previous.
type vmChange struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	State     string `json:"state"`
	visibleAt time.Time
	previous  *vmChange
}

// NewPlatform returns a platform with empty stores and no VMs.
func NewPlatform(now func() time.Time) *Platform {
	return &Platform{
		now:     now,
		items:   map[string]map[string]dynamoItem{},
		objects: map[string][]byte{},
		vms:     map[string]vmChange{},
		counts:  map[string]int{},
	}
}

// Handler serves all APIs of the platform and its control endpoints on one address.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/control/faults", p.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/control/backup", p.backUp).Methods(http.MethodPut)
	r.HandleFunc("/control/restore", p.restore).Methods(http.MethodPut)
	r.HandleFunc("/control/vms", p.setVM).Methods(http.MethodPut)
	r.HandleFunc("/control/counts", p.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/v1/vms", p.listVMs).Methods(http.MethodGet)
	r.HandleFunc("/", p.dynamo).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(p.s3)
	return r
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f platformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) setVM(w http.ResponseWriter, r *http.Request) {
	var v vmChange
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v.visibleAt = p.now().Add(time.Duration(p.faults.VMLagMS) * time.Millisecond)
	if old, ok := p.vms[v.Name]; ok {
		old.previous = nil
		v.previous = &old
	}
	p.vms[v.Name] = v
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.counts)
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts["vm_list"]++
	if p.faults.VMOutage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	out := []vmChange{}
	for _, v := range p.vms {
		if p.now().Before(v.visibleAt) {
			if v.previous == nil {
				continue
			}
			v = *v.previous
		}
		if v.State != "gone" {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b vmChange) int { return strings.Compare(a.Name, b.Name) })
	b, err := json.Marshal(map[string]any{"vms": out})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := fnv.New64a()
	_, _ = h.Write(b)
	etag := fmt.Sprintf("%q", strconv.FormatUint(h.Sum64(), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

// applyFaults counts a call and applies the faults that precede its effect. It reports whether the call
// may proceed; if not, the error response is written.
func (p *Platform) applyFaults(w http.ResponseWriter, kind string) bool {
	p.mu.Lock()
	f := p.faults
	p.counts[kind]++
	p.mu.Unlock()
	if f.DelayMS > 0 {
		time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	}
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// loseReply drops the connection instead of replying if the counter that remaining selects is above zero,
// and decrements that counter. It reports whether the reply was dropped.
func (p *Platform) loseReply(w http.ResponseWriter, remaining func(f *platformFaults) *int) bool {
	p.mu.Lock()
	n := remaining(&p.faults)
	lose := *n > 0
	if lose {
		*n--
	}
	p.mu.Unlock()
	if !lose {
		return false
	}
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
	return true
}

func (p *Platform) s3(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w, "s3_"+strings.ToLower(r.Method)) {
		return
	}
	switch r.Method {
	case http.MethodPut:
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.objects[r.URL.Path] = body
		p.mu.Unlock()
		if !p.loseReply(w, func(f *platformFaults) *int { return &f.LoseObjectReplies }) {
			w.WriteHeader(http.StatusOK)
		}
	case http.MethodGet:
		p.mu.Lock()
		body, ok := p.objects[r.URL.Path]
		p.mu.Unlock()
		if !ok {
			w.Header().Set("Content-Type", "application/xml")
			w.WriteHeader(http.StatusNotFound)
			_, _ = fmt.Fprint(w, `<?xml version="1.0"?><Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>`)
			return
		}
		_, _ = w.Write(body)
	default:
		http.Error(w, "not in the used subset", http.StatusNotImplemented)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
