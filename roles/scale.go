package roles

import (
	"math"
	"slices"

	"jacinthworks/domain"
)

// Scale makes the speeds of engines in different roles comparable. The zero value is ready to
// use; it is not safe for concurrent use.
//
// Times are measured relative to the median engine of a role. Once slow engines have collected
// in prefill, the median there is a slow one, every prefill engine seems average, and the
// planner would take slow engines for fast ones. Scale keeps the time of each engine when the
// median of its role changes, and corrects the relation of the two roles by engines that it has
// seen in both. Until then it assumes that engines are spread over the roles at random.
type Scale struct {
	medians map[domain.Role]float64 // time of the role's median engine
	engines map[domain.Host]scaled
	// deviations holds, for engines seen in both roles, the logarithm of the time in prefill
	// divided by the time in decode, which is zero if the scales of the roles agree.
	deviations []float64
}

// scaled is the time of an engine on the common scale, and the role in which it was measured.
type scaled struct {
	role domain.Role
	time float64
}

// RelativeTime is how long an engine takes for a unit of work relative to the median of the
// engines of its role, and the number of observations that this rests on.
type RelativeTime struct {
	Engine       domain.Host
	Role         domain.Role
	Time         float64
	Observations int
}

const (
	// MinObservations is the number of observations of an engine in its role from which its
	// relative time is used to exchange it, or to compare the two roles.
	MinObservations = 5
	// maxDeviations bounds the engines by which the two roles are compared.
	maxDeviations = 15
	// scaleTolerance is the deviation of the two roles that is not corrected: the error of a
	// relative time from a few observations.
	scaleTolerance = 1.25
	// maxSpeedRatio bounds relative times; anything beyond is a measuring error.
	maxSpeedRatio = 100
)

// Update replaces the measurements by the given ones. Engines without a measurement keep their
// last one.
func (c *Scale) Update(measured []RelativeTime) {
	if c.engines == nil {
		c.medians, c.engines = make(map[domain.Role]float64), make(map[domain.Host]scaled)
	}
	measured = slices.DeleteFunc(slices.Clone(measured), func(m RelativeTime) bool {
		return m.Observations <= 0 || !(m.Time >= 1.0/maxSpeedRatio && m.Time <= maxSpeedRatio) // also true for NaN
	})
	c.updateMedians(measured)
	for _, m := range measured {
		if last, known := c.engines[m.Engine]; known && last.role != m.Role {
			if m.Observations < MinObservations {
				continue // keeps the time from its last role
			}
			deviation := math.Log(last.time / (c.medians[m.Role] * m.Time))
			if m.Role == domain.RolePrefill {
				deviation = -deviation
			}
			c.deviations = append(c.deviations, deviation)
		}
		c.engines[m.Engine] = scaled{m.Role, c.medians[m.Role] * m.Time}
	}
	c.alignRoles()
	c.forgetOld(measured)
}

// updateMedians sets the time of each role's median engine so that the times of the engines that
// stayed in the role remain the same.
func (c *Scale) updateMedians(measured []RelativeTime) {
	stayed := make(map[domain.Role][]float64)
	for _, m := range measured {
		if c.medians[m.Role] == 0 {
			c.medians[m.Role] = 1
		}
		if last, known := c.engines[m.Engine]; known && last.role == m.Role {
			stayed[m.Role] = append(stayed[m.Role], last.time/m.Time)
		}
	}
	for role, ratios := range stayed {
		c.medians[role] = median(ratios)
	}
}

// alignRoles multiplies the times of decode engines so that engines seen in both roles have, in
// the median, the same speed in both.
func (c *Scale) alignRoles() {
	if len(c.deviations) == 0 {
		return
	}
	c.deviations = c.deviations[max(0, len(c.deviations)-maxDeviations):]
	correction := median(c.deviations)
	if math.Abs(correction) <= math.Log(scaleTolerance) {
		return
	}
	c.medians[domain.RoleDecode] *= math.Exp(correction)
	for h, e := range c.engines {
		if e.role == domain.RoleDecode {
			c.engines[h] = scaled{e.role, e.time * math.Exp(correction)}
		}
	}
	for i := range c.deviations {
		c.deviations[i] -= correction
	}
}

// forgetOld bounds the memory for engines that have left.
func (c *Scale) forgetOld(measured []RelativeTime) {
	if len(c.engines) <= 2*len(measured)+maxDeviations {
		return
	}
	present := make(map[domain.Host]bool, len(measured))
	for _, m := range measured {
		present[m.Engine] = true
	}
	for h := range c.engines {
		if !present[h] {
			delete(c.engines, h)
		}
	}
}

// Speed returns the speed of an engine on the common scale, the inverse of its time; zero if it
// is unknown.
func (c *Scale) Speed(engine domain.Host) float64 {
	if e, known := c.engines[engine]; known {
		return 1 / e.time
	}
	return 0
}

// MedianSpeed returns the speed of a role's median engine on the common scale.
func (c *Scale) MedianSpeed(r domain.Role) float64 {
	if m := c.medians[r]; m > 0 {
		return 1 / m
	}
	return 1
}

// median returns the lower median, as an engine's own value, of at least one value.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[(len(sorted)-1)/2]
}
