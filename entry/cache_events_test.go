package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/engine"
	"jacinthworks/route"
	"jacinthworks/wire"
)

// Requests about one stud arrive at several entries. An entry that sent none of the
// earlier requests must learn from the engine's cache events which engine holds the
// prompt prefix; otherwise it would prefill the prefix again elsewhere.
func TestCacheEventsReachEngineSelector(t *testing.T) {
	var e Entry
	from := wire.Hello{Host: "prefill-1", Zone: "salt-lake", Service: "appraiser-lm", Role: "prefill"}
	params, err := json.Marshal(wire.CacheEvents{Events: []engine.CacheEvent{{Seq: 1, Prefix: 7, Tokens: 200}}})
	require.NoError(t, err)
	s := e.schedulers.get(from.Service)
	job := route.Job{PromptTokens: 500, Prefix: 7, PrefixTokens: 250}
	require.Zero(t, s.model.MaxCachedTokens(time.Now(), job), "before the event")
	e.handleCacheEvents(from, params)
	require.InDelta(t, 200, s.model.MaxCachedTokens(time.Now(), job), 2)
}
