package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Raw answers each request on a listener with the same bytes, and closes its connection, until the listener is closed.
func Raw(l net.Listener, answer string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer) // the other end may be gone
		}
		_ = c.Close()
	}
}
