package table

import (
	"testing"
	"time"

	"jacinthworks/domain"
	"jacinthworks/test/seeded"
)

// Property tests use a fixed seed, so that every run draws the same cases.
func TestMain(m *testing.M) { seeded.Main(m) }

// sample returns a valid row of appraiser-lm.
func sample(zone domain.Zone, kind domain.Kind) Row {
	return Row{Service: "appraiser-lm", Zone: zone, Kind: kind, Team: "appraisal", Weight: 1, InFlight: 8,
		QueueLimit: 32, CallerRate: 2.5, Deadline: Duration(30 * time.Second), FirstToken: Duration(2 * time.Second),
		TokenGap: Duration(100 * time.Millisecond), Priority: 5, WastedPrefillWeight: 200}
}

// enquiry returns a valid row of marketplace-app, which another team owns.
func enquiry(zone domain.Zone) Row {
	return Row{Service: "marketplace-app", Zone: zone, Kind: "enquiry", Team: "listing", Weight: 1, InFlight: 16,
		Deadline: Duration(5 * time.Second), Priority: 9}
}

func sampleTable() Table {
	return New(7, []Row{enquiry(AnyZone), sample(AnyZone, "appraisal"), sample("salt-lake", "appraisal")})
}

var asha = Operator{Name: "asha", Teams: []string{"appraisal"}}

func lines(err error) []string {
	r, ok := err.(*Rejection)
	if !ok {
		return nil
	}
	var all []string
	for _, f := range r.Findings {
		all = append(all, f.String())
	}
	return all
}
