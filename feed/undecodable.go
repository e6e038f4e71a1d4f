package feed

import "github.com/hashicorp/go-hclog"

// Undecodable reports each version of an item that can't be decoded once, however often it is
// listed. The zero value with Feed and Log set is ready to use. It must be used by one
// goroutine.
type Undecodable struct {
	// Feed is the name of the collection in log lines.
	Feed string
	Log  hclog.Logger
	// OnItem, if set, is called for each reported version.
	OnItem func()

	reported map[string]reportedVersion // by item name
}

// reportedVersion is a version of an item; reported distinguishes it from the zero value.
type reportedVersion struct {
	revision Revision
	reported bool
}

// maxUndecodable bounds the number of items that an Undecodable remembers.
const maxUndecodable = 1000

// Observe reports an item whose err is not nil, unless its version was reported before.
func (u *Undecodable) Observe(name string, revision Revision, err error) {
	version := reportedVersion{revision, true}
	switch {
	case err == nil:
		delete(u.reported, name)
	case u.reported[name] != version:
		if u.reported == nil || len(u.reported) >= maxUndecodable {
			u.reported = make(map[string]reportedVersion)
		}
		u.reported[name] = version
		if u.OnItem != nil {
			u.OnItem()
		}
		u.Log.Warn("item not decodable, skipped", "feed", u.Feed, "name", name, "revision", revision.String(), "err", err)
	}
}
