package sidecar

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/sparshore/sparshore/internal/events"
)

// TestDeliveryOverReconnections applies random steps to a generation and its caller (tokens,
// frames, acknowledgements, late and repeated frames, lost connections, resumes) and checks that
// the caller gets each offset once and in order.
func TestDeliveryOverReconnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGeneration("g", "r", "a", bufferLimits{unacked: 1 << 20, retained: 200})
		client := NewClient(events.Nop())
		var s *Stream
		var d *delivery
		var sent []tokensNote
		made, got := 0, int64(0)
		resume := func() {
			s = client.newStream(nil, got)
			s.setGeneration("g")
			d = &delivery{sub: s.sub}
			if !g.attach(d, got) {
				t.Fatalf("offset %d is not kept, first is %d", got, g.first)
			}
			sent = nil
		}
		resume()
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				made++
				g.append(json.RawMessage(fmt.Sprintf(`{"text":"%d"}`, made)), true)
			case 2:
				if n, _, ok := g.frame(d); ok && n != nil {
					sent = append(sent, *n)
					s.appendFrame(*n)
				}
			case 3:
				if len(sent) > 0 {
					late := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "late")]
					if s.appendFrame(late) {
						t.Fatal("a repeated frame was accepted")
					}
				}
			case 4:
				other := tokensNote{Sub: s.sub, Generation: "other", First: got + 1, Choices: []json.RawMessage{[]byte(`{"text":"x"}`)}}
				if s.appendFrame(other) {
					t.Fatal("a frame of another generation was accepted")
				}
			case 5:
				got = receive(t, s, got)
				g.ack(d, got)
			case 6:
				resume()
			}
		}
		g.finish(true, "")
		resume()
		for {
			n, _, _ := g.frame(d)
			if n == nil {
				t.Fatal("the stream has no end")
			}
			s.appendFrame(*n)
			if n.End != nil {
				break
			}
		}
		if got = receive(t, s, got); got != int64(made) {
			t.Fatalf("caller has %d of %d", got, made)
		}
	})
}

// receive takes the ready choices, checks that they continue after offset got, and returns the last
// offset.
func receive(t *rapid.T, s *Stream, got int64) int64 {
	p, ok := s.ready()
	if !ok || len(p.Choices()) == 0 {
		return got
	}
	if p.First() != got+1 {
		t.Fatalf("part starts at %d after %d", p.First(), got)
	}
	for i, c := range p.Choices() {
		if want := fmt.Sprintf(`{"text":"%d"}`, got+1+int64(i)); string(c) != want {
			t.Fatalf("offset %d holds %s", got+1+int64(i), c)
		}
	}
	return got + int64(len(p.Choices()))
}

func TestSlowCallerIsCutWithinItsBound(t *testing.T) {
	g := newGeneration("g", "r", "a", bufferLimits{unacked: 100, retained: 100})
	n := 0
	for g.append(json.RawMessage(`{"text":"0123456789"}`), true) {
		n++
	}
	if n > 5 {
		t.Errorf("%d choices kept over the bound", n)
	}
	if end, _ := g.ended(); end == nil || end.Whole || end.Reason != reasonSlowCaller {
		t.Errorf("end = %+v", end)
	}
}

func TestAcknowledgedTokensStayWithinTheirBound(t *testing.T) {
	g := newGeneration("g", "r", "a", bufferLimits{unacked: 1000, retained: 100})
	d := &delivery{}
	g.attach(d, 0)
	for i := range 1000 {
		g.append(json.RawMessage(`{"text":"0123456789"}`), true)
		g.ack(d, int64(i+1))
	}
	kept := 0
	for _, c := range g.choices {
		kept += len(c)
	}
	if kept > 121 || len(g.choices) == 0 {
		t.Errorf("%d bytes kept", kept)
	}
}

// TestLastChoiceIsAcknowledgedBeforeTheEnd guards against a delivery that is detached before it has sent the end of
// its generation: the entry would wait for that end until its caller gives up.
func TestLastChoiceIsAcknowledgedBeforeTheEnd(t *testing.T) {
	g := newGeneration("g", "r", "a", bufferLimits{unacked: 1 << 20, retained: 200})
	d := &delivery{sub: 1}
	if !g.attach(d, 0) {
		t.Fatal("the generation is not kept")
	}
	g.append(json.RawMessage(`{}`), true)
	if note, _, ok := g.frame(d); !ok || note == nil || note.End != nil {
		t.Fatalf("frame %+v, %v; want a choice without an end", note, ok)
	}
	g.finish(true, "")
	if g.ack(d, 1) {
		t.Error("the acknowledgement of the last choice counts as one of the end, which was not sent")
	}
	if note, _, ok := g.frame(d); !ok || note == nil || note.End == nil {
		t.Fatalf("frame %+v, %v; want the end", note, ok)
	}
	if !g.ack(d, 1) {
		t.Error("the end is not acknowledged")
	}
}
