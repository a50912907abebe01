package jsonbound

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/sparshore/sparshore/internal/sizebound"
)

// maxTestBytes is a bound on the size that the texts of these tests stay within.
const maxTestBytes = 1 << 20

func nested(open string, n int, closing string) string {
	return strings.Repeat(open, n) + "1" + strings.Repeat(closing, n)
}

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       error
	}{
		{"empty", "", nil},
		{"deepest array", nested("[", MaxDepth, "]"), nil},
		{"array one level deeper", nested("[", MaxDepth+1, "]"), ErrTooDeep},
		{"deepest object", nested(`{"a":`, MaxDepth, "}"), nil},
		{"object one level deeper", nested(`{"a":`, MaxDepth+1, "}"), ErrTooDeep},
		{"array that never ends", strings.Repeat("[", MaxDepth+1), ErrTooDeep},
		{"many arrays side by side", "[" + strings.Repeat("[],", 10*MaxDepth) + "[]]", nil},
		{"brackets in a string", `"` + strings.Repeat("[{", MaxDepth) + `"`, nil},
		{"brackets after an escaped quotation mark", `"\"` + strings.Repeat("[", MaxDepth+1) + `"`, nil},
		{"brackets after a string that ends in a backslash", `["\\",` + nested("[", MaxDepth, "]") + `]`, ErrTooDeep},
		{"string that never ends", `"` + strings.Repeat("[", MaxDepth+1), nil},
		{"backslash at the end", `"\`, nil},
		{"longest text", strings.Repeat(" ", maxTestBytes), nil},
		{"text one byte longer", strings.Repeat(" ", maxTestBytes+1), sizebound.ErrTooLong},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := Check([]byte(tc.text), maxTestBytes); !errors.Is(err, tc.want) {
				t.Errorf("%v, want %v", err, tc.want)
			}
		})
	}
}

// Guards against a decoder that reads a text before it is checked.
func TestUnmarshal(t *testing.T) {
	var v any
	if err := Unmarshal([]byte(nested("[", MaxDepth+1, "]")), maxTestBytes, &v); !errors.Is(err, ErrTooDeep) || v != nil {
		t.Errorf("decoded %v, error %v, want ErrTooDeep", v, err)
	}
	if err := Unmarshal([]byte("[7]"), maxTestBytes, &v); err != nil || len(v.([]any)) != 1 {
		t.Errorf("decoded %v, error %v", v, err)
	}
}

// Guards against errors that fill the log, since those of decoders repeat what they read.
func TestErrorsAreShort(t *testing.T) {
	for _, text := range []string{`{"n":` + strings.Repeat("9", 5000) + `}`, `{"n":1e999}`, `{"n":"` + strings.Repeat("x", 5000) + `"}`, strings.Repeat("x", 5000)} {
		var v struct{ N int }
		if err := Unmarshal([]byte(text), maxTestBytes, &v); !errors.Is(err, ErrInvalid) || len(err.Error()) > 2*maxExcerptBytes {
			t.Errorf("%.20s: %v", text, err)
		}
	}
}

// Guards against a text that is accepted but makes the message that carries it too deep.
func TestEmbeddedTextFitsIntoAMessage(t *testing.T) {
	for _, depth := range []int{MaxEmbeddedDepth, MaxEmbeddedDepth + 1} {
		text := nested("[", depth, "]")
		err := CheckEmbedded([]byte(text), maxTestBytes)
		if errors.Is(err, ErrTooDeep) != (depth > MaxEmbeddedDepth) {
			t.Errorf("%d levels: %v", depth, err)
		}
		if err := Check([]byte(`{"params":{"body":`+text+`}}`), maxTestBytes); err != nil {
			t.Errorf("message with %d more levels: %v", depth, err)
		}
	}
}

// FuzzCheck checks that valid JSON is rejected exactly if it is nested too deeply, and that of other texts no decoder
// reads more than MaxDepth levels before it finds the error.
func FuzzCheck(f *testing.F) {
	for _, text := range []string{
		"", "null", `{"a":[1,"]",{"b\"":"\\"}]}`, nested("[", MaxDepth, "]"), nested("[", MaxDepth+1, "]"), nested(`{"[":`, MaxDepth+1, "}"),
		strings.Repeat("[", MaxDepth+1), strings.Repeat("]", 9) + strings.Repeat("[", MaxDepth+1), `"\u005b`, "[\"\xff[\"" + strings.Repeat(",[", MaxDepth),
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		rejected := errors.Is(Check(text, len(text)), ErrTooDeep)
		deepest, depth := 0, 0
		d := json.NewDecoder(bytes.NewReader(text))
		var err error
		for {
			var token json.Token
			if token, err = d.Token(); err != nil {
				break
			}
			switch token {
			case json.Delim('['), json.Delim('{'):
				depth++
				deepest = max(deepest, depth)
			case json.Delim(']'), json.Delim('}'):
				depth--
			}
		}
		if deepest > MaxDepth && !rejected || rejected && deepest <= MaxDepth && errors.Is(err, io.EOF) && json.Valid(text) {
			t.Errorf("%d levels, rejected %t", deepest, rejected)
		}
	})
}
