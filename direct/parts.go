package direct

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"jacinthworks/clock"
	"jacinthworks/group"
	"jacinthworks/relay"
	"jacinthworks/retry"
)

const (
	// Entries wait for a random time before they tell that a part proved sound, so that most of them
	// learn it from another first: up to soundSpread for each entry of the fleet, and maxSoundSpread.
	soundSpread    = 2 * time.Millisecond
	maxSoundSpread = time.Second
	// soundNoticeTime bounds the delivery of such a message.
	soundNoticeTime = 5 * time.Second
	// recheckKeyPrefix is the prefix of the key by which the entries that may recheck a blocked part are
	// ordered.
	recheckKeyPrefix = "part_recheck/"
)

// evidenceTime is the time of evidence: that of day at the start of this process, and a clock that
// runs steadily since. Evidence of several entries is ordered by it, also after the time of day of
// one of them has been set.
func (s *Server) evidenceTime() time.Time {
	return s.startTime.Add(clock.Boottime().Sub(s.startBoottime)).Round(0)
}

// isBlockedByPart reports whether a request is blocked by a part of its prompt. At times one
// runs all the same, in case the part was blocked by mistake.
func (s *Server) isBlockedByPart(r *request) bool {
	if r.isRecheck || len(r.work.Parts) == 0 {
		return false
	}
	now := s.evidenceTime()
	part, finding, blocked := s.crashes.Ledger.BlockingPart(now, r.work.Parts)
	if !blocked {
		return false
	}
	if turn, ok := s.recheckTurn(part); ok && s.crashes.Ledger.Recheck(now, part, turn) {
		r.isRecheck = true
		s.Log.Info("blocked prompt part rechecked", "request", r.id, "part", part, "deaths", finding.Deaths)
		s.countEvidence("rechecked")
		return false
	}
	s.Log.Info("request blocked by a prompt part", "request", r.id, "part", part, "deaths", finding.Deaths, "since_last", now.Sub(finding.Last))
	s.countEvidence("blocked_part")
	return true
}

// recheckTurn returns the place of this entry in the order in which entries recheck a blocked part;
// false if it is none of those that do, such as one that has just started.
func (s *Server) recheckTurn(part retry.Part) (turn int, ok bool) {
	owners := s.peers.fleet.Owners(time.Now(), recheckKeyPrefix+string(part), math.MaxInt)
	turn = slices.IndexFunc(owners, func(o relay.Owner) bool { return o.Peer == nil })
	return max(turn, 0), turn >= 0 || len(owners) == 0
}

// recordSoundParts records that the parts of a request's prompt proved sound.
func (s *Server) recordSoundParts(r *request) {
	if len(r.work.Parts) > 0 && s.crashes.Ledger.RecordSound(s.evidenceTime(), r.work.Parts) {
		s.tellSoundParts()
	}
}

// tellSoundParts tells the other entries which parts proved sound here, if they may hold deaths against
// them and no other entry tells them first.
func (s *Server) tellSoundParts() {
	if !s.soundPending.CompareAndSwap(false, true) {
		return // told with those that are pending
	}
	s.background("tell sound prompt parts", maxSoundSpread+soundNoticeTime, func(ctx context.Context) error {
		group.Sleep(ctx, rand.N(min(soundSpread*time.Duration(s.peers.fleet.MemberCount()+1), maxSoundSpread)))
		s.soundPending.Store(false)
		s.logBlockedParts()
		if sound := s.crashes.Ledger.TakeSound(s.evidenceTime()); len(sound) > 0 {
			s.Log.Info("prompt parts proved sound", "parts", len(sound), "newest", sound[0].Part)
			s.countEvidence("sound")
			s.spreadEvidence(ctx, retry.Record{SoundParts: sound})
		}
		return nil
	})
}

// logBlockedParts logs which parts were blocked, or are blocked no longer, since the last call.
func (s *Server) logBlockedParts() {
	s.blockedPartsMu.Lock()
	defer s.blockedPartsMu.Unlock()
	blocked := s.crashes.Ledger.BlockedParts(s.evidenceTime())
	for part, f := range blocked {
		if before, known := s.blockedParts[part]; !known || len(before.Rivals) != len(f.Rivals) {
			s.Log.Info("prompt part blocked", "part", part, "deaths", f.Deaths, "rivals", len(f.Rivals))
		}
	}
	for part := range s.blockedParts {
		if _, still := blocked[part]; !still {
			s.Log.Info("prompt part no longer blocked", "part", part)
		}
	}
	s.blockedParts = blocked
}

// answerProgress records, once an answer has been written for retry.SoundAfter, that the parts of its
// prompt are sound.
type answerProgress struct {
	first time.Time
	done  bool
}

// add records that an event came.
func (p *answerProgress) add(s *Server, r *request, a *attempt) {
	switch now := time.Now(); {
	case p.done:
	case p.first.IsZero():
		p.first = now
	case now.Sub(p.first) >= retry.SoundAfter:
		p.done = true
		s.crashes.PartsProvedSound(a.start.Key(), r)
		s.recordSoundParts(r)
	}
}

// answersWithSuccess reports whether a response shows that its upstream wrote an answer on the prompt.
func (a *attempt) answersWithSuccess() bool {
	return a.reply != nil && a.reply.Status >= http.StatusOK && a.reply.Status < http.StatusMultipleChoices && (a.gotEvents || !a.reply.EventStream)
}
