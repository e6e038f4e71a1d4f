package entry

import (
	"net/http"
	"time"

	"jacinthworks/domain"
)

// bodyStopMargin is how long before the end of a stop the body of a request is given up, so that the refusal is still read.
const bodyStopMargin = 500 * time.Millisecond

// stopKind is the kind of a request for the decision whether it is passed on in a planned stop.
func (r *request) stopKind() string { return string(r.service) + "/" + string(r.kind) }

// deadline is when a request must have ended.
func (r *request) deadline() time.Time { return r.acceptedAt.Add(time.Duration(r.row.Deadline)) }

// refuseLate returns a failure if this entry stops before a request that is passed on now is likely to be answered.
func (e *Entry) refuseLate(r *request) *failure {
	if !e.stop.IsTooLate(r.stopKind(), r.deadline()) {
		return nil
	}
	return stopFailure("this entry stops before the request would end")
}

// stopFailure refuses a request that was not passed on because this entry stops.
func stopFailure(detail string) *failure {
	return &failure{ran: domain.NotRun, reason: domain.ReasonDraining, detail: detail, retryAfter: time.Second, final: true}
}

// endBodyWithStop ends the reading of a request's body shortly before the end of a planned stop. done is called once the
// body is read.
func (e *Entry) endBodyWithStop(w http.ResponseWriter) (done func()) {
	control := http.NewResponseController(w)
	hastened := make(chan struct{})
	cancel := e.stop.AfterBegin(func() {
		defer close(hastened)
		_ = control.SetReadDeadline(e.stop.Stop().AnswerBy().Add(-bodyStopMargin)) // only a recorder in a test has none
	})
	return func() {
		if !cancel() {
			<-hastened
			_ = control.SetReadDeadline(time.Time{}) // the deadline must not end the request while it is served
		}
	}
}

// recordDuration records how long a request took that was answered.
func (e *Entry) recordDuration(r *request) {
	if !r.passedOnAt.IsZero() {
		e.stop.Durations.Record(r.stopKind(), time.Since(r.passedOnAt))
	}
}

// passOn records that an attempt of a request is passed on to a side. end is called when it has ended.
func (r *request) passOn() (end func()) {
	r.passedOnAt = time.Now()
	r.inProgress.Store(true)
	return func() { r.inProgress.Store(false) }
}
