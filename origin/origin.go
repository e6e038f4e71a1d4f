// Package origin decides where a stream may continue that its caller resumes.
//
// Upstreams of several software versions may serve one service side by side, and their outputs are
// not compatible: a stream may continue only at the version that began it. The caller may resume it
// at any entry, also after the one that served the first event has failed.
//
// The load pattern is the failure of an entry, an upstream or all entries at once, all of whose streams
// are resumed within moments at entries some or all of which have just started. Without records each
// entry would choose by the versions that it happens to see, and join parts of two versions or refuse
// them all.
//
// What processes know ends with the last of them, so the store has two kinds of records. The Ledger
// lists the versions at which streams of a service may have begun; no stream begins at another one.
// While a service has several, the Shards of the store have the versions of its newest streams.
//
// # Usage
//
//	var records origin.Records
//	o := origin.Origin{Service: "appraiser-lm", Software: "v1.1"}
//	records.Add(now, origin.Record{Request: id, Origin: o, Life: life}) // before the first event is passed on
//	found, ok := records.Find(now, id)
//
//	var book origin.Book
//	book.Observe(now, live, resumable)      // versions with upstreams, at each change of the registry
//	book.Adopt(now, reading)                // from the store
//	next, write, again := book.Plan(now, conditions)
//	book.Listed(o)                          // a stream may begin there
//
//	d := origin.Resumption{Named: true, Window: window, Stored: stored}.Decide(own, others...)
//	if !d.Known() {} // refuse: no version is known, or not yet for d.Wait
package origin

import (
	"slices"
	"time"

	"jacinthworks/domain"
)

// Origin is what began a stream.
type Origin struct {
	Service  domain.Service  `json:"service"`
	Software domain.Software `json:"software"`
}

// View is what one entry knows of a stream and of the services that may have begun it.
type View struct {
	// Origin is the record of the stream; nil if the entry has none.
	Origin *Origin `json:"origin,omitempty"`
	// Versions are the versions of the service's upstreams in the last Window, those of removed
	// upstreams included.
	Versions []domain.Software `json:"versions,omitempty"`
	// Since and Until bound the time of which the entry has all changes of the registry, by the clock of
	// the entry that decides; Until is zero if there is none.
	Since time.Time `json:"-"`
	Until time.Time `json:"-"`
	// Ages are Since and Until as one entry states them to another; nil if there are none, also from an entry of
	// an earlier release.
	Ages *Ages `json:"ages,omitempty"`
}

// Ages are the times of a View, before that of the statement. Hosts have no common clock.
type Ages struct {
	Since time.Duration `json:"since"`
	Until time.Duration `json:"until"`
}

// State sets the ages for another entry.
func (v *View) State(now time.Time) {
	if !v.Until.IsZero() {
		v.Ages = &Ages{Since: now.Sub(v.Since), Until: now.Sub(v.Until)}
	}
}

// Date sets the times of a view that another entry stated in answer to a call, so that it never seems to know of
// more time than it does.
func (v *View) Date(sent, received time.Time) {
	if v.Ages != nil {
		v.Since, v.Until = received.Add(-v.Ages.Since), sent.Add(-v.Ages.Until)
	}
}

// Knows reports whether the view has all versions at which a stream may have begun that was resumed at the given
// time, at most window after it began.
//
// The time is that of the request and not of the decision: no stream that began later is asked about, so that what is
// decided stays true however long the entry stands still before it acts.
func (v View) Knows(resumed time.Time, window time.Duration) bool {
	return !v.Until.IsZero() && !v.Since.After(resumed.Add(-window)) && resumed.Sub(v.Until) <= MaxAge
}

// Grounds is why a stream may continue at a version, or why none is known.
type Grounds string

// The grounds of a decision.
const (
	// Recorded: an entry has a record of the stream.
	Recorded Grounds = "recorded"
	// OnlyVersion: the service has had one version for as long as the stream can be old.
	OnlyVersion Grounds = "only_version"
	// Stored: the store has a record of the stream.
	Stored Grounds = "stored"
	// OnlyListed: the ledger in the store lists one version.
	OnlyListed Grounds = "only_listed"
	// SeveralVersions: the service has had several, and there is no record.
	SeveralVersions Grounds = "several_versions"
	// Uncertain: at most one version is known, and another one can't be ruled out.
	Uncertain Grounds = "uncertain"
	// Conflict: two records differ.
	Conflict Grounds = "conflict"
)

// Decision is at which version a stream may continue.
type Decision struct {
	Grounds  Grounds
	Software domain.Software
	// Service is the service that began the stream; empty if that is not recorded.
	Service domain.Service
	// Wait is the time until a version may be known; zero is never.
	Wait time.Duration
	// Age is the age of the newest confirmation of the registry in the views that it rests on, when the request came;
	// negative if that came later, nil if it rests on none.
	Age *time.Duration
}

// Known reports whether a version is known.
func (d Decision) Known() bool {
	switch d.Grounds {
	case Recorded, OnlyVersion, Stored, OnlyListed:
		return true
	}
	return false
}

// StoredView is what the store knows of a stream and its service, read after the caller's request came.
type StoredView struct {
	// Err is why it was not read.
	Err error
	// Versions are those at which the service's streams may have begun. CompleteIn is the time until the
	// list is complete; zero if it is.
	Versions   []domain.Software
	CompleteIn time.Duration
	// Origins are the records of the stream.
	Origins []Origin
}

// Resumption is a request that resumes a stream.
type Resumption struct {
	// Named means that the caller names the request that began the stream. Callers that don't use a
	// protocol from before there were versions.
	Named bool
	// Window is how long ago the stream may have begun.
	Window time.Duration
	// Received is when the request came, by the clock of the views.
	Received time.Time
	// Stored is what the store knows; nil if it was not asked.
	Stored *StoredView
}

// storeRetry is the time after which the store is worth reading again.
const storeRetry = time.Second

// Decide decides by what this entry, those that it asked and the store know.
//
// Without a record a version counts as the only one if the ledger in the store is complete and lists
// no other. Without a complete ledger, no entry may know another version, and one must have followed the
// registry for the whole window, up to MaxAge before the request: one that has just started, or does not hear
// the registry, may have missed a version.
func (q Resumption) Decide(own View, others ...View) Decision {
	views := append([]View{own}, others...)
	if d, recorded := q.record(views); recorded {
		return d
	}
	if q.Stored != nil && q.Stored.Err == nil && q.Stored.CompleteIn == 0 {
		switch len(q.Stored.Versions) {
		case 0:
			return Decision{Grounds: Uncertain}
		case 1:
			return Decision{Grounds: OnlyListed, Software: q.Stored.Versions[0]}
		}
		return Decision{Grounds: SeveralVersions}
	}
	var versions []domain.Software
	add := func(all []domain.Software) {
		for _, s := range all {
			if !slices.Contains(versions, s) {
				versions = append(versions, s)
			}
		}
	}
	known := false
	var age *time.Duration
	for _, v := range views {
		add(v.Versions)
		known = known || v.Knows(q.Received, q.Window)
		if a := q.Received.Sub(v.Until); !v.Until.IsZero() && (age == nil || a < *age) {
			age = &a
		}
	}
	if q.Stored != nil {
		add(q.Stored.Versions)
	}
	switch {
	case len(versions) > 1:
		return Decision{Grounds: SeveralVersions, Wait: q.untilRead(), Age: age}
	case len(versions) == 1 && (!q.Named || known):
		return Decision{Grounds: OnlyVersion, Software: versions[0], Age: age}
	}
	wait := q.untilRead()
	if q.Stored != nil && q.Stored.Err == nil {
		wait = soonest(wait, q.Stored.CompleteIn)
	}
	if !own.Until.IsZero() && q.Received.Sub(own.Until) <= MaxAge {
		wait = soonest(wait, max(own.Since.Add(q.Window).Sub(q.Received), 0))
	}
	return Decision{Grounds: Uncertain, Wait: wait, Age: age}
}

// record decides by the records of the stream, if there are any.
func (q Resumption) record(views []View) (d Decision, recorded bool) {
	var found []Origin
	grounds := Stored
	for _, v := range views {
		if v.Origin != nil {
			found, grounds = append(found, *v.Origin), Recorded
		}
	}
	if q.Stored != nil {
		found = append(found, q.Stored.Origins...)
	}
	for _, o := range found {
		if o != found[0] {
			return Decision{Grounds: Conflict}, true
		}
	}
	if len(found) == 0 {
		return Decision{}, false
	}
	return Decision{Grounds: grounds, Software: found[0].Software, Service: found[0].Service}, true
}

// untilRead is the time until the store may be read, if it was not.
func (q Resumption) untilRead() time.Duration {
	if q.Stored != nil && q.Stored.Err != nil {
		return storeRetry
	}
	return 0
}
