package direct

import "time"

const (
	// rolesHosts is how many entries look for the lease whenever it may have ended:
	// the largest hosts, since the holder asks all engines and entries each second.
	//
	// Load pattern: one entry renews the lease, and each of the others reads it every
	// eight seconds: 400 calls of 68 entries within a minute.
	rolesHosts = 4
	// lookEvery is how often each of them reads the lease. Its end is counted from
	// the first reading of the last renewal: read only when it may have ended, a
	// lost holder's shows after up to twice its time, in which no order is given.
	lookEvery = 2 * time.Second
	// standbyEvery is how often the next largest host looks, for the case that those few
	// are lost. Others look the more rarely the smaller they are, so that the looks of
	// all together grow with the logarithm of their number.
	standbyEvery = 32 * time.Second
	// placeWithin is how long after its start an entry waits to know its place.
	placeWithin = memberFirst + time.Second
)

// standby gives how long this entry leaves the lease to others, which began at one
// time and last looked at another.
func (s *Server) standby(now, began, looked time.Time) time.Duration {
	if !s.Settings.PeerListen.IsValid() {
		return 0
	}
	place, known := s.peers.fleet.Rank()
	switch {
	case known && place < rolesHosts:
		return 0
	case known:
		if looked.IsZero() {
			looked = began
		}
		return min(looked.Add(standbyPeriod(place)).Sub(now), planEvery)
	default:
		return min(began.Add(placeWithin).Sub(now), planEvery)
	}
}

// standbyPeriod is how often the entry at a place among all looks, the largest host first.
func standbyPeriod(place int) time.Duration {
	return standbyEvery * time.Duration(place) / rolesHosts
}
