package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Service is a stand-in for a plain service some of whose calls may not be
// repeated. It counts how often each call identifier ran.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults serviceFaults
}

type serviceFaults struct {
	// DelayMS is how long a call takes.
	DelayMS int `json:"delay_ms"`
	// LoseReplies is the number of calls that run and get no reply.
	LoseReplies int `json:"lose_replies"`
}

// NewService returns a service that has run nothing.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Handler serves the service.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/control/runs", s.getRuns).Methods(http.MethodGet)
	r.HandleFunc("/control/faults", s.setFaults).Methods(http.MethodPut)
	r.PathPrefix("/").HandlerFunc(s.call)
	return r
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f serviceFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	delay, lose := s.run(r.Header.Get("X-Request-Id"))
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"path": r.URL.Path, "method": r.Method, "body": string(body)})
}

func (s *Service) run(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	lose := s.faults.LoseReplies > 0
	if lose {
		s.faults.LoseReplies--
	}
	return time.Duration(s.faults.DelayMS) * time.Millisecond, lose
}
