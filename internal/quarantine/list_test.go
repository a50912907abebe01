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
	f.crashUnder("b", "9")
	f.crashUnder("a", "1", "2", "3")
	g.Merge("f", f.Reports())
	if f.enterError() == nil {
		t.Fatal("not quarantined")
	}
	r := mux.NewRouter()
	r.HandleFunc("/quarantine", f.ServeList).Methods(http.MethodGet)
	r.HandleFunc("/quarantine/{fingerprint}", func(w http.ResponseWriter, r *http.Request) { f.ServeLift(w, r, "op") }).Methods(http.MethodDelete)
	for _, tc := range []struct {
		name, method, path string
		status             int
		text               string
	}{
		{"list all", http.MethodGet, "/quarantine", 200, `{"requests":[{"fingerprint":"` + named("a").String() + `","route":"route","upstreams_ended":["1","2","3"],`},
		{"malformed fingerprint", http.MethodDelete, "/quarantine/xyz", 400, "32 hexadecimal digits"},
		{"unknown fingerprint", http.MethodDelete, "/quarantine/" + named("c").String(), 404, "no upstream is known"},
		{"lift the quarantine", http.MethodDelete, "/quarantine/" + named("a").String(), 204, ""},
		{"list the rest", http.MethodGet, "/quarantine", 200, `{"requests":[{"fingerprint":"` + named("b").String()},
	} {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, nil))
		if w.Code != tc.status || !strings.HasPrefix(w.Body.String(), tc.text) && !strings.Contains(w.Body.String(), tc.text) {
			t.Errorf("%s: %d %s, want %d %s", tc.name, w.Code, w.Body, tc.status, tc.text)
		}
	}
	f.enter("a").Leave()
	g.Merge("f", f.Reports())
	g.enter("a").Leave()
}
