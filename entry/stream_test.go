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

// token returns a text that is unique to one token of one attempt.
func token(r wire.AttemptRef, n int) string { return fmt.Sprintf("%s/%d/%d ", r.Request, r.Attempt, n) }

// Frames may arrive late from an abandoned attempt, and after a lost connection they
// overlap or leave gaps. Guards against an answer that contains tokens of another request
// or attempt, or has tokens twice or missing.
func TestStreamsAcceptOnlyNextTokensOfOwnAttempt(t *testing.T) {
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
				e.streams.close(r)
			case 2: // the tokens that arrived are forwarded to the caller
				if open[r] == nil {
					break
				}
				for _, text := range open[r].takeNew() {
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
				e.handleNotification(nil, wire.MethodFrame, params)
			}
			if open[r] != nil {
				require.Equal(t, want[r], open[r].nextOffset())
			}
		}
	})
}

// Lists of owned shards from a former and the current owner may arrive in either order.
// Guards against claims that are sent to the former owner because its list arrived last.
func TestOwnersKeepNewestEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o owners
		newest := make(map[claim.Shard]claim.Epoch)
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			shard := claim.Shard(rapid.IntRange(0, 2).Draw(t, "shard"))
			epoch := claim.Epoch{Version: rapid.Uint64Range(1, 4).Draw(t, "version"), Turn: rapid.Uint32Range(0, 2).Draw(t, "rank")}
			host := func(e claim.Epoch) domain.Host { return domain.Host("side-" + e.String()) } // each epoch belongs to one process
			o.update(host(epoch), wire.OwnedShards{Service: "wallapp", Shards: []claim.Ownership{{Shard: shard, Epoch: epoch}}})
			if newest[shard].Less(epoch) {
				newest[shard] = epoch
			}
			require.Equal(t, host(newest[shard]), o.host("wallapp", shard))
			require.Empty(t, o.host("marketplace-app", shard))
		}
	})
}
