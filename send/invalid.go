package send

import (
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"jacinthworks/resp"
)

// LogInvalid logs a response for which OnInvalid is called. client is the kind of the client, such as "upstream", and name
// what it calls.
func LogInvalid(log hclog.Logger, client, name string, err error) {
	if b := BoundOf(err); b != "" {
		log.Warn("response exceeds a bound", "client", client, "name", name, "bound", b)
		return
	}
	log.Warn("response malformed", "client", client, "name", name, "part", resp.PartOf(err), "err", err)
}

// InvalidLog logs and counts the invalid responses to the clients of a process. Set Log before first use. It must not be
// copied, and is safe for concurrent use.
type InvalidLog struct {
	Log hclog.Logger

	count atomic.Int64
}

// For returns an OnInvalid of a client; see LogInvalid.
func (l *InvalidLog) For(client, name string) func(error) {
	return func(err error) {
		l.count.Add(1)
		LogInvalid(l.Log, client, name, err)
	}
}

// Count is the number of invalid responses.
func (l *InvalidLog) Count() int64 { return l.count.Load() }
