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

// Sellers ask about one stud through several entries. An entry that sent none of
// it before must know from the engine's events who holds the pedigree's head, or
// it fills that prompt anew elsewhere.
func TestCacheEventsReachTheChoice(t *testing.T) {
	var e Entry
	from := wire.Hello{Host: "prefill-1", Zone: "salt-lake", Service: "appraiser-lm", Role: "prefill"}
	params, err := json.Marshal(wire.Cache{Events: []engine.CacheEvent{{Seq: 1, Prefix: 7, Tokens: 200}}})
	require.NoError(t, err)
	s := e.schedulers.of(from.Service)
	job := route.Job{PromptTokens: 500, Prefix: 7, PrefixTokens: 250}
	require.Zero(t, s.model.Cached(time.Now(), job), "before the event")
	e.takeCache(from, params)
	require.InDelta(t, 200, s.model.Cached(time.Now(), job), 2)
}
