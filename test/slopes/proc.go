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

// usage holds the resources that a process has used up to a point in time.
type usage struct {
	at  time.Time
	cpu time.Duration
	// resident is the resident memory in bytes.
	resident float64
	// bytes is the number of bytes read and written, nearly all of them on
	// sockets. It does not include IP and TCP headers.
	bytes float64
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (usage, error) {
	u := usage{at: time.Now()}
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	tasks, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil {
		return u, err
	}
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if err != nil {
			continue // the thread has ended since the listing
		}
		var nanoseconds int64
		if _, err := fmt.Sscan(string(text), &nanoseconds); err != nil {
			return u, errors.Wrap(err, t)
		}
		u.cpu += time.Duration(nanoseconds)
	}
	if u.resident, err = readNumber(filepath.Join(dir, "status"), "VmRSS"); err != nil {
		return u, err
	}
	u.resident *= 1024
	read, err := readNumber(filepath.Join(dir, "io"), "rchar")
	if err != nil {
		return u, err
	}
	written, err := readNumber(filepath.Join(dir, "io"), "wchar")
	u.bytes = read + written
	return u, err
}

// readNumber reads the number after a name from a file with lines of the form
// `name: number`.
func readNumber(path, name string) (float64, error) {
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
	return 0, errors.Errorf("read %s: no line with %s", path, name)
}

// microseconds returns a duration in microseconds.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// readAllocated reads the cumulative number of allocated heap bytes from the metrics of
// an entry.
func readAllocated(ctx context.Context, r test.Process) (float64, error) {
	var v struct {
		Memory struct {
			TotalAlloc float64
		} `json:"memstats"`
	}
	err := getJSON(ctx, "http://"+r.Admin.String()+"/debug/vars", &v)
	return v.Memory.TotalAlloc, err
}

// getJSON decodes the JSON answer to a GET request.
func getJSON(ctx context.Context, url string, into any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
