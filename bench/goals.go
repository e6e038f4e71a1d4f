package main

import (
	"fmt"
	"io"
	"time"
)

// goal is a named metric derived from the tallies of several scenarios under one policy
// at one deployment.
type goal struct {
	name  string
	value float64
}

// printGoals writes a line for each goal whose scenarios were all run in the given cells.
func printGoals(out io.Writer, list []*cell) {
	for _, d := range []string{"tollygunge", "registry", "wallapp"} {
		for _, label := range []string{policyNaive, policyRouter, policyNaive + heldOutSuffix, policyRouter + heldOutSuffix} {
			tallies := make(map[string]*tally)
			for _, c := range list {
				if c.deployment.name == d && c.label == label {
					tallies[c.scenario.name] = c.tally
				}
			}
			if len(tallies) == 0 {
				continue
			}
			for _, g := range goals(tallies) {
				fmt.Fprintf(out, "goal\t%s\t%s\t%s\t%.4f\n", d, label, g.name, g.value)
			}
		}
	}
}

// overloadFactors are the load factors of the overload scenarios, ascending.
var overloadFactors = []string{"0.5x", "1x", "2x", "3x", "4x"}

// goals returns the goals whose scenarios were all run.
func goals(tallies map[string]*tally) []goal {
	var list []goal
	add := func(name string, value func() float64, needs ...string) {
		for _, n := range needs {
			if tallies[n] == nil {
				return
			}
		}
		list = append(list, goal{name, value()})
	}
	add("goodput_2x_of_best", func() float64 { return ratioToBest(tallies, (*tally).goodput) }, overloadScenarios()...)
	add("goodput_cost_2x_of_best", func() float64 { return ratioToBest(tallies, (*tally).costPerSecond) }, overloadScenarios()...)
	add("goodput_least_step", func() float64 { return minStepRatio(tallies, (*tally).goodput) }, overloadScenarios()...)
	add("goodput_cost_least_step", func() float64 { return minStepRatio(tallies, (*tally).costPerSecond) }, overloadScenarios()...)
	add("wasted_prefill_worst", func() float64 { return maxWastedFraction(tallies) })
	for _, hot := range []string{"hot_caller", "hot_key"} {
		add(hot+"_costs_others", func() float64 { return 1 - tallies[hot].othersGoodFraction()/tallies["calm_0.6x"].othersGoodFraction() }, hot, "calm_0.6x")
	}
	for _, slow := range []string{"slow_upstream", "slow_decode"} {
		add(slow+"_costs", func() float64 { return 1 - tallies[slow].goodput()/tallies["calm_0.8x"].goodput() }, slow, "calm_0.8x")
	}
	add("burst_recovery_s", func() float64 { return tallies["burst"].recoverySeconds(int(burstEnd/time.Second), 10, 20) }, "burst")
	return list
}

// overloadScenarios returns the names of the overload scenarios.
func overloadScenarios() []string {
	var names []string
	for _, x := range overloadFactors {
		names = append(names, "overload_"+x)
	}
	return names
}

// ratioToBest returns the metric at load 2x divided by its highest value at any load
// of the overload scenarios.
func ratioToBest(tallies map[string]*tally, metric func(*tally) float64) float64 {
	best := 0.0
	for _, x := range overloadFactors {
		best = max(best, metric(tallies["overload_"+x]))
	}
	return metric(tallies["overload_2x"]) / best
}

// minStepRatio returns the smallest ratio, for the loads 2x to 4x, of the metric at
// one load to the metric at the next lower load.
func minStepRatio(tallies map[string]*tally, metric func(*tally) float64) float64 {
	least := 1e9
	for n := 2; n < len(overloadFactors); n++ {
		least = min(least, metric(tallies["overload_"+overloadFactors[n]])/metric(tallies["overload_"+overloadFactors[n-1]]))
	}
	return least
}

// maxWastedFraction returns the largest fraction of wasted prefill tokens in the
// scenarios without an engine crash.
func maxWastedFraction(tallies map[string]*tally) float64 {
	worst := 0.0
	for _, s := range scenarios() {
		if tallies[s.name] != nil && s.name != "upstream_lost" && s.name != "zone_lost" {
			worst = max(worst, tallies[s.name].wastedFraction())
		}
	}
	return worst
}
