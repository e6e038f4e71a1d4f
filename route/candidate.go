package route

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Candidate describes an upstream that has no side, by the responses that it sent
// and the requests that this process has in progress at it.
type Candidate struct {
	// Name identifies the upstream in the log.
	Name string `json:"name"`
	// SameZone reports whether it is in this process's availability zone.
	SameZone bool `json:"near"`
	// Slots is the number of requests that it serves concurrently, zero if unknown.
	// OwnRequests is the number in progress from this process, and OtherRequests an
	// estimate of the number from other processes.
	Slots         int     `json:"slots"`
	OwnRequests   int     `json:"own"`
	OtherRequests float64 `json:"others"`
	// MemoryTokens is an engine's memory in tokens, zero if unknown. OwnTokens is
	// the memory used by the requests of this process, and QueuedTokens the number
	// of their prompt tokens that are not yet processed.
	MemoryTokens int `json:"memory,omitempty"`
	OwnTokens    int `json:"tokens,omitempty"`
	QueuedTokens int `json:"queued,omitempty"`
	// FailureRate is the fraction of its recent responses that failed, 0 to 1.
	FailureRate float64 `json:"fails"`
	// Responsive reports whether its recent requests succeeded, apart from few
	// failures.
	Responsive bool `json:"sure,omitempty"`
	// UnitTime is the upstream's time per unit of work, which is a call or a prompt
	// token; zero if unknown.
	UnitTime time.Duration `json:"speed"`
	// AnswerUnitTime is the upstream's time per event of an answer; zero if unknown.
	AnswerUnitTime time.Duration `json:"answer_speed,omitempty"`
	// CoolingDown reports whether the upstream is to get no requests for some time:
	// it refused a request for lack of capacity, accepted no connection, is
	// changing its role or is at its rate limit.
	CoolingDown bool `json:"held"`
}

// Request is a request to place.
type Request struct {
	// Units is the work of the request, in the units of Candidate.UnitTime.
	Units int
	// AnswerUnits is the expected number of events of the answer, in the units of
	// Candidate.AnswerUnitTime; zero if the time that the answer takes does not matter.
	AnswerUnits int
	// IgnoreAnswerTime lets the candidates' times for the answer not count in the score.
	IgnoreAnswerTime bool
	// MaxAnswerUnits is the number of events of a long answer, and AnswerTimeLimit the time
	// left for it. A candidate that is not expected to complete it in time is left out, unless
	// this is so for all; zero is no limit.
	MaxAnswerUnits  int
	AnswerTimeLimit time.Duration
	// Tokens is the engine memory that the request needs, in tokens.
	Tokens int
	// Typical is the assumed size of a request of another process.
	Typical RequestSize
	// SkipExcluded leaves out the candidates that are Excluded. All others
	// are then treated as if they had capacity, even if the estimate says
	// otherwise, because a full upstream refuses the request itself.
	SkipExcluded bool
	// OnlyResponsive leaves out the candidates that are not Responsive. It is for
	// requests that cannot be retried after a failure.
	OnlyResponsive bool
	// MemoryPressureCost is the extra time that a request takes on an engine whose
	// memory is full of other requests, with which it shares the batch steps.
	MemoryPressureCost time.Duration
	// FailureCost is the time that a failure costs: the time of a retry, or far
	// more if a retry is not possible.
	FailureCost time.Duration
	// CrossZoneCost is the penalty, as a time, for sending the request's bytes to
	// another zone.
	CrossZoneCost time.Duration
}

// RequestSize is the work of a request, in the units of Candidate.UnitTime, and its
// memory in tokens.
type RequestSize struct{ Units, Tokens int }

// The constants of Candidate.Score.
const (
	// defaultCallTime is the assumed service time of a request whose candidate's
	// UnitTime is unknown.
	defaultCallTime = 30 * time.Millisecond
	// scoreJitter is the largest fraction of a score that is added to it at random,
	// so that the entries do not all choose equal candidates in the same order.
	scoreJitter = 0.1
	// fullSlowdown is the time that a request takes longer on a full upstream than
	// on an idle one, as a fraction of its service time.
	fullSlowdown = 1.0
	// queueWaitFactor is the wait at a full upstream for each request ahead, in
	// service times divided by Slots.
	queueWaitFactor = 1.0
	// equalAnswerTime is the ratio of two times per event up to which they count as
	// equal. Estimates differ by some percent between upstreams of one kind; if these
	// differences mattered, all processes would choose the same few upstreams.
	equalAnswerTime = 1.25
)

// inFlight returns the estimated number of requests in progress at the candidate,
// from all processes.
func (c Candidate) inFlight() float64 { return float64(c.OwnRequests) + c.OtherRequests }

// usedMemory returns the estimated number of tokens in use in the candidate's
// memory. Each request of another process counts as r.Typical.
func (c Candidate) usedMemory(r Request) float64 {
	return float64(c.OwnTokens) + c.OtherRequests*float64(r.Typical.Tokens)
}

// EstimateWait returns the estimated time to a response, including the work ahead
// of the request.
func (c Candidate) EstimateWait(r Request) time.Duration {
	return time.Duration(float64(c.UnitTime) * (float64(r.Units+c.QueuedTokens) + c.OtherRequests*float64(r.Typical.Units)))
}

// EstimateRate returns the estimated number of calls per second that the upstream
// can answer.
func (c Candidate) EstimateRate() float64 {
	unitTime := c.UnitTime
	if unitTime == 0 {
		unitTime = defaultCallTime
	}
	return float64(max(c.Slots, 1)) / unitTime.Seconds()
}

// Score returns the estimated time to a response plus the request's penalties for
// memory pressure, failures and another zone; the lowest score is the best.
func (c Candidate) Score(r Request) time.Duration {
	unitTime := c.UnitTime
	if unitTime == 0 {
		unitTime = defaultCallTime / time.Duration(max(r.Units, 1))
	}
	serviceTime := float64(unitTime) * float64(max(r.Units, 1))
	score := serviceTime + float64(unitTime)*(float64(c.QueuedTokens)+c.OtherRequests*float64(r.Typical.Units))
	if c.Slots > 0 {
		score += serviceTime * fullSlowdown * min(c.inFlight()/float64(c.Slots), 1)
		if excess := c.inFlight() + 1 - float64(c.Slots); excess > 0 {
			score += serviceTime * queueWaitFactor * excess / float64(c.Slots)
		}
	}
	if c.MemoryTokens > 0 {
		score += c.usedMemory(r) / float64(c.MemoryTokens) * float64(r.MemoryPressureCost)
	}
	score += c.FailureRate * float64(r.FailureCost)
	if !c.SameZone {
		score += float64(r.CrossZoneCost)
	}
	return time.Duration(score)
}

// isTooSlow reports whether a long answer of the candidate is not expected to be complete
// within the request's time limit. Its caller would get nothing, after the answer has held
// the upstream's memory until the deadline.
func (c *Candidate) isTooSlow(r *Request) bool {
	return r.AnswerTimeLimit > 0 && time.Duration(r.MaxAnswerUnits)*c.AnswerUnitTime > r.AnswerTimeLimit
}

// excessAnswerTime returns how much longer the answer takes than at the fastest
// candidate, whose time per event is given.
func (c Candidate) excessAnswerTime(r Request, fastest time.Duration) time.Duration {
	if r.IgnoreAnswerTime {
		return 0
	}
	excess := c.AnswerUnitTime - time.Duration(equalAnswerTime*float64(fastest))
	return max(0, excess) * time.Duration(r.AnswerUnits)
}

// fastestAnswer returns the least time per event of the candidates that the request does
// not leave out; zero if none is known or the request does not ask for it.
func fastestAnswer(candidates []Candidate, r Request) (fastest time.Duration) {
	if r.AnswerUnits <= 0 || r.IgnoreAnswerTime {
		return 0
	}
	for i := range candidates {
		c := &candidates[i]
		if c.AnswerUnitTime > 0 && !r.leavesOut(c) && (fastest == 0 || c.AnswerUnitTime < fastest) {
			fastest = c.AnswerUnitTime
		}
	}
	return fastest
}

// leavesOut reports whether the request must not go to the candidate.
func (r Request) leavesOut(c *Candidate) bool {
	return r.SkipExcluded && c.CoolingDown || r.OnlyResponsive && !c.Responsive
}

// hasCapacity reports whether the candidate is estimated to have capacity for the
// request.
func (c Candidate) hasCapacity(r Request) bool {
	if c.CoolingDown || c.Slots > 0 && c.inFlight() >= float64(c.Slots) {
		return false
	}
	return c.MemoryTokens == 0 || c.usedMemory(r)+float64(r.Tokens) <= float64(c.MemoryTokens)
}

// SelectBest returns the index of the candidate with the lowest score, including the
// time that the answer takes in excess of that at the fastest candidate, among those
// estimated to have capacity or, if there are none, among all; -1 if the request
// leaves out every candidate. full reports that none is estimated to have capacity.
func SelectBest(candidates []Candidate, r Request, random *rand.Rand) (best int, full bool) {
	best, full = -1, true
	var lowest float64
	fastest := fastestAnswer(candidates, r)
	anyInTime := slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.isTooSlow(&r) })
	for i, c := range candidates {
		if r.leavesOut(&c) || anyInTime && c.isTooSlow(&r) {
			continue
		}
		hasRoom := r.SkipExcluded || c.hasCapacity(r)
		if !hasRoom && !full {
			continue
		}
		score := float64(c.Score(r)+c.excessAnswerTime(r, fastest)) * (1 + scoreJitter*random.Float64())
		if best < 0 || hasRoom && full || score < lowest {
			best, lowest = i, score
		}
		if hasRoom {
			full = false
		}
	}
	return best, full
}
