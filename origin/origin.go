// Package origin decides where a stream may continue that its caller resumes.
//
// Upstreams of several software versions may serve one service side by side, and their outputs are
// not compatible: a stream may continue only at the version that began it. The caller may resume it
// at any entry, also after the one that served the first event has failed.
//
// The load pattern is the failure of an entry or an upstream, all of whose streams are resumed within
// moments at the other entries, some of which have just started. Without records each entry would
// choose by the versions that it happens to see, and join parts of two versions or refuse them all.
//
// # Usage
//
//	var records origin.Records
//	o := origin.Origin{Service: "appraiser-lm", Software: "v1.1"}
//	records.Add(now, origin.Record{Request: id, Origin: o, Life: life}) // before the first event is passed on
//	found, ok := records.Find(now, id)
//
//	d := origin.Resumption{Named: true, Window: window}.Decide(own, others...)
//	if !d.Known() {} // refuse: no version is known
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
	// Since is for how long the entry has followed the registry, and Current means that it hears of
	// changes now.
	Since   time.Duration `json:"since"`
	Current bool          `json:"current"`
}

// Grounds is why a stream may continue at a version, or why none is known.
type Grounds string

// The grounds of a decision.
const (
	// Recorded: an entry has a record of the stream.
	Recorded Grounds = "recorded"
	// OnlyVersion: the service has had one version for as long as the stream can be old.
	OnlyVersion Grounds = "only_version"
	// SeveralVersions: the service has had several, and no entry has a record.
	SeveralVersions Grounds = "several_versions"
	// Uncertain: one version is known, and no entry can rule out another.
	Uncertain Grounds = "uncertain"
	// Conflict: the records of two entries differ.
	Conflict Grounds = "conflict"
)

// Decision is at which version a stream may continue.
type Decision struct {
	Grounds  Grounds
	Software domain.Software
	// Service is the service that began the stream; empty if that is not recorded.
	Service domain.Service
}

// Known reports whether a version is known.
func (d Decision) Known() bool { return d.Grounds == Recorded || d.Grounds == OnlyVersion }

// Resumption is a request that resumes a stream.
type Resumption struct {
	// Named means that the caller names the request that began the stream. Callers that don't use a
	// protocol from before there were versions.
	Named bool
	// Window is how long ago the stream may have begun.
	Window time.Duration
}

// Decide decides by what this entry and those that it asked know.
//
// Without a record a version counts as the only one if no entry knows another. If the caller names
// the request that began the stream, its record was lost. One entry must then have followed the
// registry for the whole window and follow it now: one that has just started, or is partitioned from
// the registry, may have missed a version.
func (q Resumption) Decide(own View, others ...View) Decision {
	views := append([]View{own}, others...)
	var versions []domain.Software
	var found *Origin
	certain := false
	for _, v := range views {
		if v.Origin != nil {
			if found != nil && *found != *v.Origin {
				return Decision{Grounds: Conflict}
			}
			found = v.Origin
		}
		for _, s := range v.Versions {
			if !slices.Contains(versions, s) {
				versions = append(versions, s)
			}
		}
		certain = certain || v.Current && v.Since >= q.Window
	}
	switch {
	case found != nil:
		return Decision{Grounds: Recorded, Software: found.Software, Service: found.Service}
	case len(versions) > 1:
		return Decision{Grounds: SeveralVersions}
	case len(versions) == 0 || q.Named && !certain:
		return Decision{Grounds: Uncertain}
	}
	return Decision{Grounds: OnlyVersion, Software: versions[0]}
}
