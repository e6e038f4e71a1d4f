package entry

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/claim"
	"jacinthworks/domain"
	"jacinthworks/test/seeded"
	"jacinthworks/wire"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// token names one token of one attempt, so that none can pass for another.
func token(r wire.AttemptRef, n int) string { return fmt.Sprintf("%s/%d/%d ", r.Request, r.Attempt, n) }

// The story: a seller reads an appraisal with another's words, or with a part
// twice or missing. Frames come late from an attempt given up, and overlap or
// leave gaps after a lost connection. The cause would be a stream that takes a
// frame by its arrival.
func TestStreamsTakeOnlyTheirOwnNextTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e Entry
		var refs []wire.AttemptRef
		for _, id := range []domain.RequestID{"entry-1.7.1", "entry-1.7.2"} {
			for _, a := range []domain.Attempt{1, 2} {
				refs = append(refs, wire.AttemptRef{Request: id, Attempt: a, Stage: wire.StageDecode})
			}
		}
		open := make(map[wire.AttemptRef]*stream)
		want, got := make(map[wire.AttemptRef]int), make(map[wire.AttemptRef]int)
		ref := rapid.SampledFrom(refs)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			r := ref.Draw(t, "ref")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				open[r], want[r], got[r] = e.streams.open(r), 0, 0
			case 1:
				e.streams.shut(r)
			case 2: // the caller's side takes what came
				if open[r] == nil {
					break
				}
				for _, text := range open[r].take() {
					require.Equal(t, token(r, got[r]), text)
					got[r]++
				}
				require.Equal(t, want[r], got[r])
			default:
				f := wire.Frame{AttemptRef: r, Offset: rapid.IntRange(0, 8).Draw(t, "offset")}
				for n := range rapid.IntRange(0, 4).Draw(t, "length") {
					f.Tokens = append(f.Tokens, token(r, f.Offset+n))
				}
				params, err := json.Marshal(f)
				require.NoError(t, err)
				if e.streams.find(r) != nil && f.Offset <= want[r] {
					want[r] = max(want[r], f.Offset+len(f.Tokens))
				}
				e.notice(nil, wire.MethodFrame, params)
			}
			if open[r] != nil {
				require.Equal(t, want[r], open[r].next())
			}
		}
	})
}

// The story: a buyer's enquiry goes to the owner of its shard of a minute ago,
// again and again, though the new one has said so. Lists of two owners cross.
// The cause would be the list that came last taking the place of the newer.
func TestOwnerOfTheNewestEpochCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o owners
		best := make(map[claim.Shard]claim.Epoch)
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			shard := claim.Shard(rapid.IntRange(0, 2).Draw(t, "shard"))
			epoch := claim.Epoch{Version: rapid.Uint64Range(1, 4).Draw(t, "version"), Turn: rapid.Uint32Range(0, 2).Draw(t, "rank")}
			host := func(e claim.Epoch) domain.Host { return domain.Host("side-" + e.String()) } // an epoch is one process's
			o.hear(host(epoch), wire.Owned{Service: "wallapp", Shards: []claim.Ownership{{Shard: shard, Epoch: epoch}}})
			if best[shard].Less(epoch) {
				best[shard] = epoch
			}
			require.Equal(t, host(best[shard]), o.of("wallapp", shard))
			require.Empty(t, o.of("marketplace-app", shard))
		}
	})
}
