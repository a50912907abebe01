package quarantine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
)

func TestOperatorsListAndLift(t *testing.T) {
	f, g := newTestSet(t), newTestSet(t)
	f.ends("b", "9")
	f.ends("a", "1", "2", "3")
	g.Hear("f", f.Tell())
	if f.refused() == nil {
		t.Fatal("not held")
	}
	r := mux.NewRouter()
	r.HandleFunc("/quarantine", f.ServeList).Methods(http.MethodGet)
	r.HandleFunc("/quarantine/{fingerprint}", func(w http.ResponseWriter, r *http.Request) { f.ServeLift(w, r, "op") }).Methods(http.MethodDelete)
	for _, tc := range []struct {
		name, method, path string
		status             int
		text               string
	}{
		{"all", http.MethodGet, "/quarantine", 200, `{"requests":[{"fingerprint":"` + named("a").String() + `","route":"route","upstreams_ended":["1","2","3"],`},
		{"no fingerprint", http.MethodDelete, "/quarantine/xyz", 400, "32 hexadecimal digits"},
		{"one that is not known", http.MethodDelete, "/quarantine/" + named("c").String(), 404, "no upstream is known"},
		{"one that is held", http.MethodDelete, "/quarantine/" + named("a").String(), 204, ""},
		{"what is left", http.MethodGet, "/quarantine", 200, `{"requests":[{"fingerprint":"` + named("b").String()},
	} {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, nil))
		if w.Code != tc.status || !strings.HasPrefix(w.Body.String(), tc.text) && !strings.Contains(w.Body.String(), tc.text) {
			t.Errorf("%s: %d %s, want %d %s", tc.name, w.Code, w.Body, tc.status, tc.text)
		}
	}
	f.enter("a").Leave()
	g.Hear("f", f.Tell())
	g.enter("a").Leave()
}
