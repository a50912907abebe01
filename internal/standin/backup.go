package standin

import (
	"maps"
	"net/http"
)

// backUp copies the table.
func (p *Platform) backUp(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = cloneItems(p.items)
}

// restore brings the table back from its latest copy: what was written since is lost. The object store
// loses nothing.
func (p *Platform) restore(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items = cloneItems(p.backup)
}

func cloneItems(items map[string]map[string]dynamoItem) map[string]map[string]dynamoItem {
	out := make(map[string]map[string]dynamoItem, len(items))
	for group, rows := range items {
		out[group] = maps.Clone(rows)
	}
	return out
}
