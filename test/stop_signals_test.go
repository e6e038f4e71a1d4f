package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a planned stop in which a second signal, or a change of the settings, ends requests without an answer or
// makes the process stay.
func TestSignalsDuringAStopLeaveNoRequestUnanswered(t *testing.T) {
	t.Parallel()
	p := newEntryProcess(t)
	p.server.Intercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			_, _ = io.Copy(io.Discard, r.Body) // net/http looks for the end of a connection once the body is read
			<-r.Context().Done()
		}
		return false
	})
	p.writeSettings(p.text())
	p.start()
	p.requireReady()
	p.requireServes("first")
	began := time.Now()
	statuses := make([]int, 6)
	var callers sync.WaitGroup
	for n := range statuses {
		callers.Go(func() {
			statuses[n] = p.sendInParts(fmt.Sprintf("r%d", n), n%2 == 0, began.Add(time.Duration(n)*600*time.Millisecond))
		})
	}
	time.Sleep(300 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	p.writeSettings(strings.Replace(p.text(), `"3s"`, `"60s"`, 1))
	for range 4 {
		time.Sleep(300 * time.Millisecond)
		p.signal(syscall.SIGHUP)
		p.signal(syscall.SIGTERM)
	}
	callers.Wait()
	p.requireExit(cleanExit)
	require.Less(t, time.Since(began), fleetStopTimeout+time.Second)
	t.Log(statuses)
	for n, status := range statuses {
		require.Contains(t, []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable}, status, "request %d", n)
	}
	require.Contains(t, p.logText(), `"reason":"entry_stopped"`)
}

// sendInParts sends a request, the end of its body at a time, and returns the status of the whole answer; 0 if there is none.
func (p *entryProcess) sendInParts(id string, slow bool, until time.Time) int {
	target := "/again/"
	if slow {
		target += "slow"
	}
	c, err := net.Dial("tcp", p.listen.String())
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 14000\r\nContent-Length: 4\r\n\r\nbo", target, id)
	time.Sleep(time.Until(until))
	_, _ = io.WriteString(c, "dy") // the process may have answered
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err = io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}
