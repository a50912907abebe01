package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// chunkWriter writes one generation as OpenAI stream chunks and injects the stream faults.
type chunkWriter struct {
	w            http.ResponseWriter
	id           string
	model        string
	promptTokens int
	chat         bool
	faults       engineFaults
	sent         int
}

func (c *chunkWriter) begin() {
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	c.flush()
}

func (c *chunkWriter) flush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}

// writeToken writes one token. It returns false when a fault ends the stream after this token.
func (c *chunkWriter) writeToken(n int) bool {
	text := fmt.Sprintf("%s.%d ", StreamTag(c.id), n)
	for range 1 + c.faults.Repeat {
		c.writeChunk(n, text, nil)
	}
	c.sent++
	if c.faults.Garbage > 0 && c.sent >= c.faults.Garbage {
		_, _ = fmt.Fprint(c.w, "data: {]\n\n\x00\xff")
		c.flush()
		return false
	}
	return c.faults.StopAfter == 0 || c.sent < c.faults.StopAfter
}

func (c *chunkWriter) finish() {
	stop := "stop"
	c.writeChunk(c.sent+1, "", &stop)
	c.writeUsage()
	_, _ = fmt.Fprint(c.w, "data: [DONE]\n\n")
	c.flush()
}

// writeUsage writes the token counts, which OpenAI sends last when stream_options asks for them. The
// stand-in always sends them.
func (c *chunkWriter) writeUsage() {
	b, _ := json.Marshal(map[string]any{
		"id": c.id, "model": c.model, "choices": []any{},
		"usage": map[string]int{"prompt_tokens": c.promptTokens, "completion_tokens": c.sent, "total_tokens": c.promptTokens + c.sent},
	})
	_, _ = fmt.Fprintf(c.w, "data: %s\n\n", b)
}

func (c *chunkWriter) writeChunk(n int, text string, finish *string) {
	choice := map[string]any{"index": 0, "finish_reason": finish}
	object := "text_completion"
	if c.chat {
		object = "chat.completion.chunk"
		delta := map[string]any{}
		if n == 1 {
			delta["role"] = "assistant"
		}
		if text != "" {
			delta["content"] = text
		}
		choice["delta"] = delta
	} else {
		choice["text"] = text
	}
	b, _ := json.Marshal(map[string]any{
		"id": c.id, "object": object, "model": c.model, "choices": []any{choice},
	})
	_, _ = fmt.Fprintf(c.w, "id: %d\ndata: %s\n\n", n, b)
	c.flush()
}
