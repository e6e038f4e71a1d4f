package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/paths"
)

// Guards against a ledger that entries of other writers fill with services that no route leads to, so that there is no
// place for a version of a service in use.
func TestLedgerObservesOnlyServicesOfTheConfiguration(t *testing.T) {
	s := newVersionedPool(domain.RoleDecode, "v1")
	s.Records = &leaseRecord{}
	_, _ = s.config.Update(time.Now(), &paths.Config{Version: 1, Services: []paths.Service{{Name: "other"}}})
	require.False(t, s.observeVersions(), "no configured service has upstreams")
	_, _ = s.config.Update(time.Now(), &paths.Config{Version: 2, Services: []paths.Service{{Name: "m"}}})
	require.True(t, s.observeVersions(), "the version of m is missing in the ledger")
}
