package shares

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what one claimant of a capacity asks for, and its weight, which must be positive.
type Claim struct{ Demand, Weight float64 }

// Share is the claim's share at a level: its demand, at most its weight times the level.
func (c Claim) Share(level float64) float64 { return min(c.Demand, c.Weight*level) }

// FairLevel returns the level of weighted max-min fairness, at which the shares of all claims
// add up to the capacity. It is infinite if the capacity is enough for all demands.
func FairLevel(capacity float64, claims []Claim) float64 {
	sorted := slices.Clone(claims)
	slices.SortFunc(sorted, func(a, b Claim) int { return cmp.Compare(a.Demand/a.Weight, b.Demand/b.Weight) })
	weight := 0.0
	for _, c := range sorted {
		weight += c.Weight
	}
	for _, c := range sorted {
		if level := capacity / weight; c.Demand > c.Weight*level*(1+rounding) {
			return max(level, 0)
		}
		capacity -= c.Demand
		weight -= c.Weight
	}
	return math.Inf(1)
}

// rounding is the relative difference of two sums that counts as rounding.
const rounding = 1e-9
