package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/test"
)

// usage is what a process has used up to a moment.
type usage struct {
	at  time.Time
	cpu time.Duration
	// resident is its memory in bytes.
	resident float64
	// bytes it read and wrote, nearly all of it on sockets. Headers of IP and
	// TCP are not in it.
	bytes float64
}

// look reads a process's usage from /proc.
func look(pid int) (usage, error) {
	u := usage{at: time.Now()}
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	tasks, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return u, err
	}
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if err != nil {
			continue // the thread has just ended
		}
		var ran int64
		if _, err := fmt.Sscan(string(text), &ran); err != nil {
			return u, errors.Wrap(err, t)
		}
		u.cpu += time.Duration(ran)
	}
	if u.resident, err = field(filepath.Join(dir, "status"), "VmRSS"); err != nil {
		return u, err
	}
	u.resident *= 1024
	read, err := field(filepath.Join(dir, "io"), "rchar")
	if err != nil {
		return u, err
	}
	written, err := field(filepath.Join(dir, "io"), "wchar")
	u.bytes = read + written
	return u, err
}

// field reads a number from a file of `name: number` lines.
func field(path, name string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for l := range strings.Lines(string(text)) {
		rest, found := strings.CutPrefix(l, name+":")
		if fields := strings.Fields(rest); found && len(fields) > 0 {
			return strconv.ParseFloat(fields[0], 64)
		}
	}
	return 0, errors.Errorf("%s: no %s", path, name)
}

// micros gives a time in microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// allocated reads from an entry's metrics how many bytes it has allocated.
func allocated(ctx context.Context, r test.Process) (float64, error) {
	var v struct {
		Memory struct {
			TotalAlloc float64
		} `json:"memstats"`
	}
	err := getJSON(ctx, "http://"+r.Admin.String()+"/debug/vars", &v)
	return v.Memory.TotalAlloc, err
}

func getJSON(ctx context.Context, url string, into any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(into)
}

// pause waits for d or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
