package entry

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

func TestMergeChoice(t *testing.T) {
	for _, tc := range []struct {
		name   string
		events []string
		want   string
	}{
		{"text is joined", []string{`{"delta":{"role":"assistant","content":"a<"}}`, `{"delta":{"role":"assistant","content":"b\""}}`}, `{"content":"a\u003cb\"","role":"assistant"}`},
		{"null changes nothing", []string{`{"delta":{"content":"a"}}`, `{"delta":{"content":null}}`}, `{"content":"a"}`},
		{"plain completions", []string{`{"text":"a"}`, `{"text":"b"}`}, `{"text":"ab"}`},
		{"calls are joined by their index", []string{
			`{"delta":{"tool_calls":[{"index":1,"id":"x","f":{"arguments":"{"}}]}}`, `{"delta":{"tool_calls":[{"index":1,"id":"x","f":{"arguments":"}"}}]}}`,
		}, `{"tool_calls":[{},{"f":{"arguments":"{}"},"id":"x","index":1}]}`},
		{"an element without an index is continued", []string{`{"delta":{"l":[{"t":"a"}]}}`, `{"delta":{"l":[{"index":0,"t":"b"}]}}`}, `{"l":[{"index":0,"t":"ab"}]}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			into, finish := map[string]any{}, json.RawMessage(nil)
			for _, e := range tc.events {
				if err := mergeChoice(into, &finish, json.RawMessage(e)); err != nil {
					t.Fatal(err)
				}
			}
			if b, err := json.Marshal(into); err != nil || string(b) != tc.want {
				t.Errorf("%s, %v; want %s", b, err, tc.want)
			}
		})
	}
}

// Guards against time that grows with the square of the length of an answer.
func TestLongAnswerIsMergedAsFastAsItsEvents(t *testing.T) {
	const n = 20_000
	event := json.RawMessage(`{"delta":{"content":"` + strings.Repeat("x", 50) + `"}}`)
	merge := func(into func() map[string]any) time.Duration {
		var finish json.RawMessage
		began := time.Now()
		for range n {
			if err := mergeChoice(into(), &finish, event); err != nil {
				t.Fatal(err)
			}
		}
		return time.Since(began)
	}
	apart := merge(func() map[string]any { return map[string]any{} })
	answer := map[string]any{}
	if together := merge(func() map[string]any { return answer }); together > 3*apart {
		t.Errorf("%d events merged in %s, each of them alone in %s", n, together, apart)
	}
}
