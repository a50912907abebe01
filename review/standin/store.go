package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row as PROTOCOL.md describes it.
type storeRow struct {
	Table, Part, Key string
	Value            []byte
	Ver              int64
	Gone             bool
}

// MarshalJSON encodes a row under the names of the pages.
func (r storeRow) MarshalJSON() ([]byte, error) {
	m := map[string]any{"table": r.Table, "part": r.Part, fieldKey: r.Key, "ver": r.Ver}
	if r.Gone {
		m["gone"] = true
	} else {
		m["value"] = r.Value
	}
	return json.Marshal(m)
}

// UnmarshalJSON decodes a row of a transaction.
func (r *storeRow) UnmarshalJSON(b []byte) error {
	var m struct {
		Table, Part string
		Value       []byte
		Ver         int64
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	var named map[string]any
	if err := json.Unmarshal(b, &named); err != nil {
		return err
	}
	key, _ := named[fieldKey].(string)
	*r = storeRow{Table: m.Table, Part: m.Part, Key: key, Value: m.Value, Ver: m.Ver}
	return nil
}

// store is a sound store of the platform.
type store struct {
	address string
	server  *http.Server
	began   time.Time

	mu      sync.Mutex
	rows    map[string]storeRow
	ver     int64
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), began: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row as the operator or a worker does; its return is the confirmation.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeRow{Table: table, Key: key, Value: b})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeRow{Table: table, Key: key, Gone: true})
}

// apply writes rows in one transaction. s.mu is held.
func (s *store) apply(rows ...storeRow) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMS() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/" + callRead:
		s.serveGet(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get(fieldTarget), q.Get("limit"))
	case "/v1/" + callFeed:
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveFeed(w, q.Get("table"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	case "/v1/" + callTransaction:
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveGet(w http.ResponseWriter, table, part, from, to, limit string) {
	most, err := strconv.Atoi(limit)
	if err != nil || most > 500 || most <= 0 {
		most = 500
	}
	s.mu.Lock()
	var rows []storeRow
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && !r.Gone && r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	ver, now := s.ver, s.nowMS()
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > most
	rows = rows[:min(len(rows), most)]
	reply(w, http.StatusOK, map[string]any{"rows": rows, "more": more, "ver": ver, "now_ms": now})
}

func (s *store) serveFeed(w http.ResponseWriter, table string, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		var rows []storeRow
		for _, r := range s.rows {
			if r.Table == table && r.Ver > after {
				rows = append(rows, r)
			}
		}
		ver, now, changed := s.ver, s.nowMS(), s.changed
		s.mu.Unlock()
		slices.SortFunc(rows, func(a, b storeRow) int { return int(a.Ver - b.Ver) })
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"rows": []storeRow{}, "ver": ver, "now_ms": now})
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx map[string][]storeRow
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx[fieldExpected] {
		have := s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key]
		if have.Gone {
			have.Ver = 0
		}
		if have.Ver != e.Ver {
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []storeRow{}, "ver": s.ver, "now_ms": s.nowMS()})
			return
		}
	}
	rows := tx["put"]
	for _, e := range tx["remove"] {
		rows = append(rows, storeRow{Table: e.Table, Part: e.Part, Key: e.Key, Gone: true})
	}
	for _, e := range rows {
		if e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.apply(rows...)
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.nowMS()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
