package paths_test

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/paths"
)

// Guards against account fields that are lost when an entry receives the configuration from
// another entry: gob does not transmit a zero value behind a pointer, so an account with the
// highest priority, zero, was given the priority of its route.
func TestConfigGobRoundTripKeepsAccounts(t *testing.T) {
	c := paths.Config{Version: 4, Accounts: []paths.Account{
		{Name: "studs", Keys: []string{"a", "b"}, HasPriority: true, Quota: paths.Quota{Rate: 36000, Burst: 36000, ByTokens: true, PlainTokens: 200}},
		{Name: "others", Keys: []string{"c"}},
	}}
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(c))
	var got paths.Config
	require.NoError(t, gob.NewDecoder(&b).Decode(&got))
	require.Equal(t, c, got)
	var h paths.Holder
	changed, findings := h.Update(time.Now(), &got)
	require.True(t, changed)
	require.Empty(t, findings)
	require.Equal(t, "studs", string(h.Current().AccountByKey("b").Name))
	require.Nil(t, h.Current().AccountByKey(""))
	require.Nil(t, h.Current().AccountByKey("d"))
}

// One key belongs to two accounts, and a quota is negative. The findings name the accounts and
// never a key.
func TestCheckAccountFindingsContainNoKey(t *testing.T) {
	c := paths.Config{Version: 1, Accounts: []paths.Account{
		{Name: "studs", Keys: []string{"secret-1"}},
		{Name: "others", Keys: []string{"secret-2", "secret-1"}, Quota: paths.Quota{Rate: -1}},
		{Keys: []string{"secret-3"}},
	}}
	findings := c.Check()
	require.Len(t, findings, 3)
	require.NotContains(t, findings.Error(), "secret")
}

func TestQuotaCost(t *testing.T) {
	tokens := paths.Quota{Rate: 1, ByTokens: true, PlainTokens: 200}
	require.InDelta(t, 5200, tokens.Cost(5200), 0)
	require.InDelta(t, 200, tokens.Cost(0), 0)
	require.InDelta(t, 1, paths.Quota{Rate: 1}.Cost(5200), 0)
	require.False(t, paths.Quota{Burst: 5}.Limited())
}
