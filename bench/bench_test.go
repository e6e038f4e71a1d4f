package main

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// runSmall runs the scenarios with one seed, under the naive policy and the
// router's, and returns the output.
func runSmall(scenarios ...string) string {
	var out bytes.Buffer
	runAll(&out, settings{Seed: 5, Seeds: 1, Policy: []string{policyNaive, policyRouter}, Scenario: scenarios})
	return out.String()
}

func TestRunAllOutputIsDeterministic(t *testing.T) {
	scenarios := []string{"burst", "shared_prefix", "zone_lost", "upstream_lost"}
	require.Equal(t, runSmall(scenarios...), runSmall(scenarios...))
}

// metricValue returns the value of a metric in the output of a run.
func metricValue(t *testing.T, out, scenario, deployment, policy, metric string) float64 {
	prefix := strings.Join([]string{scenario, deployment, policy, metric}, "\t") + "\t"
	for line := range strings.Lines(out) {
		if text, ok := strings.CutPrefix(line, prefix); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			require.NoError(t, err)
			return v
		}
	}
	t.Fatalf("no line %q", prefix)
	return 0
}

// Guards against collapse under overload: if requests are accepted without bound,
// engines prefill prompts for which no decode slot becomes free, and at twice the
// capacity every answer is late. The test runs a single seed, so its bounds are wider
// than the goals that "make bench" prints.
func TestRouterKeepsGoodputAndLatencyUnderOverload(t *testing.T) {
	out := runSmall("overload_2x", "overload_4x", "hot_caller", "hot_key", "long_among_short")
	for _, d := range []string{"tollygunge", "registry"} {
		t.Run(d, func(t *testing.T) {
			at := func(scenario, policy, metric string) float64 {
				return metricValue(t, out, scenario, d, policy, metric)
			}
			require.Greater(t, at("overload_2x", policyRouter, "goodput"), 1.5*at("overload_2x", policyNaive, "goodput"))
			require.Greater(t, at("overload_4x", policyRouter, "goodput"), 0.95*at("overload_2x", policyRouter, "goodput"))
			require.Less(t, at("overload_2x", policyRouter, "wasted_prefill"), 0.01)
			require.Greater(t, at("hot_caller", policyRouter, "worst_caller_goodput"), 0.7)
			require.Greater(t, at("hot_key", policyRouter, "worst_caller_goodput"), 0.7)
			require.Less(t, at("long_among_short", policyRouter, "ttft_p95_ms"), 1000.0)
			require.Less(t, at("overload_4x", policyRouter, "ttft_p95_ms"), 2000.0)
		})
	}
}
