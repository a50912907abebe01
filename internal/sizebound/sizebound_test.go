package sizebound

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against heads of many short lines, and against a bound that counts the lines of a body or refuses the
// longest head that is allowed.
func TestLines(t *testing.T) {
	const ok, early = "HTTP/1.1 200 OK\n", "HTTP/1.1 103 Early Hints\n"
	lines := func(n int) string { return strings.Repeat("a:\n", n) }
	for _, tc := range []struct {
		name string
		text string
		want bool
	}{
		{"nothing", "", true},
		{"most lines", ok + lines(MaxHeadLines-1) + "\n", true},
		{"one line more", ok + lines(MaxHeadLines), false},
		{"continued line", ok + "a: b\n" + strings.Repeat(" c\n", MaxHeadLines), false},
		{"line that has a space only", ok + strings.Repeat(" \n", MaxHeadLines), false},
		{"empty lines first", strings.Repeat("\n", 10) + ok + lines(MaxHeadLines), false},
		{"body", ok + "\n" + strings.Repeat("x\n", 10*MaxHeadLines), true},
		{"body of a status with several spaces", "HTTP/1.1   404 Not Found\n\n" + strings.Repeat("x\n", 10*MaxHeadLines), true},
		{"after an informational response", early + "\n" + ok + lines(MaxHeadLines-2) + "\n", true},
		{"one line more after an informational response", early + "\n" + ok + lines(MaxHeadLines-1), false},
		{"of an informational response", early + lines(MaxHeadLines), false},
		{"of an informational response with several spaces", "HTTP/1.1   100\n\n" + ok + lines(MaxHeadLines-1), false},
		{"of a status below 100", "HTTP/1.1 099 x\n\n" + ok + lines(MaxHeadLines-1), false},
		{"informational responses", strings.Repeat("HTTP/1.1 100 Continue\n\n", MaxHeadLines+1), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, text := range []string{tc.text, strings.ReplaceAll(tc.text, "\n", "\r\n")} {
				var whole, bytewise Lines
				got := whole.Add([]byte(text))
				pieces := true
				for i := range len(text) {
					pieces = bytewise.Add([]byte{text[i]})
				}
				if got != tc.want || pieces != tc.want {
					t.Errorf("within the bound: %t at once, %t byte by byte; want %t", got, pieces, tc.want)
				}
			}
		})
	}
}

// Guards against a parsed header of many lines under the same or different names.
func TestWithin(t *testing.T) {
	h := http.Header{"A": make([]string, MaxHeadLines-1), "B": {"x"}}
	if !Within(h) {
		t.Errorf("%d lines are not within the bound", MaxHeadLines)
	}
	h.Add("C", "x")
	if Within(h) {
		t.Errorf("%d lines are within the bound", MaxHeadLines+1)
	}
}
