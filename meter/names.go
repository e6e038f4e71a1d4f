package meter

import (
	"net/http"
	"sync"
)

// namesMost bounds how many names are remembered.
const namesMost = 64

// Names are those that came up, as the header fields of answers. The zero value is ready to
// use; it must not be copied.
type Names struct {
	mu   sync.RWMutex // a leaf
	seen map[string]bool
}

// Fresh gives the names in a header that did not come up before.
func (n *Names) Fresh(h http.Header) (names []string) {
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

// First says whether a name did not come up before.
func (n *Names) First(name string) bool { return len(n.Fresh(http.Header{name: nil})) > 0 }
