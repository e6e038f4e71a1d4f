package speed

// slowdown estimates how much longer a unit of work takes for each other request that an
// upstream of the pool serves. The zero value assumes none.
//
// The slope is estimated from the deviations of each upstream's loads and times from their
// own means, so that a slow upstream that gets little load, or a fast one that gets much,
// does not distort it.
type slowdown struct {
	// covariance and variance are decaying sums over the deviations, and load the decaying
	// mean of the loads.
	covariance, variance, load, weight float64
}

// means are the moving averages of an upstream's loads and times.
type means struct {
	load, time float64
	known      bool
}

const (
	meansSmoothing = 0.9
	// sumDecay is the factor by which the sums fall with each observation.
	sumDecay = 0.999
	// minVariance is the sum of squared deviations of the load from which the slope is
	// used: some 50 observations, each one request from the mean.
	minVariance = 50
	// maxTimeDeviation bounds the relative deviation of a time, so that a few outliers do
	// not decide on the slope.
	maxTimeDeviation = 2
	// maxSlope bounds the relative increase of the time for each request.
	maxSlope = 1
)

// learn adds an observation of an upstream.
func (s *slowdown) learn(m *means, load, unitTime float64) {
	s.load = s.load*sumDecay + load
	s.weight = s.weight*sumDecay + 1
	if !m.known {
		*m = means{load, unitTime, true}
		return
	}
	dl, dt := load-m.load, min(unitTime/m.time-1, maxTimeDeviation)
	s.covariance = s.covariance*sumDecay + dl*dt
	s.variance = s.variance*sumDecay + dl*dl
	m.load = m.load*meansSmoothing + load*(1-meansSmoothing)
	m.time = m.time*meansSmoothing + unitTime*(1-meansSmoothing)
}

// factor returns how many times as long a unit of work takes beside so many other requests.
func (s *slowdown) factor(load float64) float64 {
	if s.variance < minVariance {
		return 1
	}
	// The slope was measured relative to the time at the mean load, not at none.
	atMean := max(s.covariance/s.variance, 0)
	slope := atMean / max(1-atMean*s.load/s.weight, atMean/maxSlope, 1e-9)
	return 1 + slope*load
}
