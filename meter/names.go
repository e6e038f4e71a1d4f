package meter

import (
	"net/http"
	"sync"
)

// maxNames bounds the size of a SeenNames, because the names come from upstreams and may
// be without end.
const maxNames = 64

// SeenNames is a bounded set of names, such as those of response header fields. The
// zero value is ready to use; it must not be copied. It is safe for concurrent use.
type SeenNames struct {
	mu   sync.RWMutex // leaf lock: no other lock is acquired while it is held
	seen map[string]bool
}

// AddHeader adds the names in a header and returns those that are new. Once the set
// is full, no name is new.
func (n *SeenNames) AddHeader(h http.Header) (names []string) {
	n.mu.RLock()
	for name := range h {
		if !n.seen[name] && len(n.seen) < maxNames {
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
	var added []string
	for _, name := range names {
		if !n.seen[name] && len(n.seen) < maxNames {
			n.seen[name] = true
			added = append(added, name)
		}
	}
	return added
}

// Add adds a name and reports whether it is new; once the set is full, no name is new.
func (n *SeenNames) Add(name string) bool { return len(n.AddHeader(http.Header{name: nil})) > 0 }
