package meter

import (
	"net/http"
	"sync"
)

// namesMost bounds how many names are remembered.
const namesMost = 64

// SeenNames are those that came up, as the header fields of answers. The zero value is ready to
// use; it must not be copied.
type SeenNames struct {
	mu   sync.RWMutex // a leaf
	seen map[string]bool
}

// AddHeader gives the names in a header that did not come up before.
func (n *SeenNames) AddHeader(h http.Header) (names []string) {
	n.mu.RLock()
	for name := range h {
		if !n.seen[name] && len(n.seen) < namesMost {
			names = append(names, name)
		}
	}
	n.mu.RUnlock()
	if len(names) == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen == nil {
		n.seen = make(map[string]bool)
	}
	var first []string
	for _, name := range names {
		if !n.seen[name] && len(n.seen) < namesMost {
			n.seen[name] = true
			first = append(first, name)
		}
	}
	return first
}

// Add says whether a name did not come up before.
func (n *SeenNames) Add(name string) bool { return len(n.AddHeader(http.Header{name: nil})) > 0 }
