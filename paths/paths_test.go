package paths_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jacinthworks/domain"
	"jacinthworks/paths"
)

func config(v paths.Version, prefixes ...string) *paths.Config {
	c := &paths.Config{Version: v, Services: []paths.Service{{Name: "cards"}}}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, paths.Route{
			Name: p, Host: "Site.Example", Prefix: p, Kind: paths.AtMostOnce, Shares: []paths.WeightedService{{Service: "cards", Weight: 1}},
		})
	}
	return c
}

func TestMatchLongestPrefixOfHostWins(t *testing.T) {
	var h paths.Holder
	_, findings := h.Update(time.Now(), config(1, "/", "/a/", "/a/b/"))
	require.Empty(t, findings)
	for path, want := range map[string]string{"/x": "/", "/a": "/", "/a/": "/a/", "/a/bc": "/a/", "/a/b/c": "/a/b/"} {
		r, ok := h.Current().Match("site.example:80", path)
		require.True(t, ok)
		require.Equal(t, want, r.Name, path)
	}
	_, ok := h.Current().Match("other.example", "/a/")
	require.False(t, ok)
}

// Configurations arrive in any order and more than once, from lists and watches. The one in
// force is always the newest that has arrived.
func TestHolderUpdateNeverLowersVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h paths.Holder
		newest := paths.Version(0)
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 30).Draw(t, "versions") {
			changed, _ := h.Update(time.Now(), config(paths.Version(v), "/"))
			if changed != (paths.Version(v) > newest) {
				t.Fatalf("version %d after %d: changed is %v", v, newest, changed)
			}
			newest = max(newest, paths.Version(v))
			if h.Current().Version != newest {
				t.Fatalf("version in force is %d, want %d", h.Current().Version, newest)
			}
		}
	})
}

func TestCheckReportsRouteFindings(t *testing.T) {
	c := config(1, "/")
	c.Routes = append(c.Routes,
		paths.Route{Name: "none", Prefix: "/n/", Kind: paths.AtMostOnce},
		paths.Route{Name: "odd", Prefix: "n", Kind: "odd", Shares: []paths.WeightedService{{Service: "missing"}}},
	)
	var h paths.Holder
	changed, findings := h.Update(time.Now(), c)
	require.True(t, changed, "the valid routes are served")
	require.Len(t, findings, 4)
	_, ok := h.Current().Match("", "/n/")
	require.False(t, ok)
}

func TestPickSelectsServicesByWeight(t *testing.T) {
	r := paths.Route{Shares: []paths.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[domain.Service]int)
	for range 10_000 {
		counts[r.Pick(random)]++
	}
	require.InDelta(t, 9000, counts["a"], 200)
	require.InDelta(t, 1000, counts["b"], 200)
	require.Zero(t, counts["c"])
}
