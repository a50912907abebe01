package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Service simulates a plain service that has calls which must not be executed twice. It counts the
// executions of each request ID.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults serviceFaults
}

// serviceFaults are the faults to inject, set by PUT /control/faults.
type serviceFaults struct {
	// DelayMS is the duration of a call.
	DelayMS int `json:"delay_ms"`
	// LoseReplies is the number of calls that are executed but get no reply.
	LoseReplies int `json:"lose_replies"`
}

// NewService returns a service that has executed no calls.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// Handler serves the service and its control endpoints. All other paths are calls.
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
	delay, lose := s.recordRun(r.Header.Get("X-Request-Id"))
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]any{"path": r.URL.Path, "method": r.Method, "body": string(body)})
}

// recordRun counts an execution. It returns the duration of the call and whether its reply is lost.
func (s *Service) recordRun(id string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	lose := s.faults.LoseReplies > 0
	if lose {
		s.faults.LoseReplies--
	}
	return time.Duration(s.faults.DelayMS) * time.Millisecond, lose
}
