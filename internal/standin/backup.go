package standin

import (
	"maps"
	"net/http"
)

// backUp saves a copy of the table.
func (p *Platform) backUp(http.ResponseWriter, *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = cloneItems(p.items)
}

// restore replaces the table with its latest backup, so writes after that backup are lost. The object
// store keeps all of its objects.
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
