// Command standins-2 holds the stand-ins of the platform, its servers and its callers for the
// cases of the second review, and plays one case against processes of the project.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// play is what a case works with.
type play struct {
	root, dir string
	trouble   bool
	began     time.Time

	mu     sync.Mutex
	record io.Writer
}

// logf writes a line to record.txt, with the seconds since the beginning.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f "+format+"\n", append([]any{time.Since(p.began).Seconds()}, args...)...)
}

// since is the time of a moment in the record.
func (p *play) since(t time.Time) float64 { return t.Sub(p.began).Seconds() }

var cases = map[string]func(*play) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE ROOT RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "standins")
	if err != nil {
		os.Exit(2)
	}
	p := &play{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: file}
	broken, err := cases[os.Args[1]](p)
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("kept", dir)
	}
	switch {
	case err != nil:
		p.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		p.logf("RULE BROKEN")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	p.logf("the rule held")
	fmt.Println("the rule held")
}

var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get makes a GET call and returns the status, or 0.
func get(url string) (int, string) {
	r, err := quick.Get(url)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(body)
}
