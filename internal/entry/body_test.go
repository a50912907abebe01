package entry

import (
	"strings"
	"testing"
)

// Guards against a body that makes the message to the sidecar too deep, which ends the connection of all callers.
func TestDeeplyNestedBodyIsRefused(t *testing.T) {
	for _, tc := range []struct {
		name  string
		depth int
		want  *apiError
	}{
		{"usual", 30, nil},
		{"deep", 100, errBadBody},
		{"as deep as the decoder allows", 9_990, errBadBody},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body := `{"model":"m","messages":` + strings.Repeat("[", tc.depth) + strings.Repeat("]", tc.depth) + `}`
			if _, err := parseCompletion([]byte(body), chatAPI); (err == nil) != (tc.want == nil) || err != nil && err.code != tc.want.code {
				t.Errorf("%v, want %v", err, tc.want)
			}
		})
	}
}
