package direct

import "time"

const (
	// rolesCandidates is how many entries read the roles lease whenever it may have expired:
	// those on the largest hosts, since the holder polls all engines and entries each
	// second.
	//
	// When each entry but the holder read the lease every eight seconds, 68 entries made
	// 400 calls within a minute.
	rolesCandidates = 4
	// leaseReadInterval is how often each candidate reads the roles lease. The expiry is
	// counted from the first read that saw the last renewal. If the lease were read only
	// when it may have expired, the loss of the holder would show after up to twice the
	// lease time, in which no order is given.
	leaseReadInterval = 2 * time.Second
	// standbyReadInterval is how often the next largest host reads the roles lease, in case all
	// candidates have stopped. Smaller hosts read it more rarely, so that the reads of all
	// entries together grow with the logarithm of their number.
	standbyReadInterval = 32 * time.Second
	// rankTimeout is how long after its start an entry waits to learn its rank by host
	// size.
	rankTimeout = memberFirstReadDelay + time.Second
)

// standbyWait is how long this entry waits before it reads the roles lease again; zero or
// less means that it need not wait. began is the time of its start, and lastRead that of
// its last read of the lease, zero for none.
func (s *Server) standbyWait(now, began, lastRead time.Time) time.Duration {
	if !s.Settings.PeerListen.IsValid() {
		return 0
	}
	rank, known := s.peers.fleet.Rank()
	switch {
	case known && rank < rolesCandidates:
		return 0
	case known:
		if lastRead.IsZero() {
			lastRead = began
		}
		return min(lastRead.Add(standbyInterval(rank)).Sub(now), planInterval)
	default:
		return min(began.Add(rankTimeout).Sub(now), planInterval)
	}
}

// standbyInterval is how often the entry of a rank reads the lease; rank 0 is the largest
// host.
func standbyInterval(rank int) time.Duration {
	return standbyReadInterval * time.Duration(rank) / rolesCandidates
}
