package direct

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jacinthworks/domain"
	"jacinthworks/group"
	"jacinthworks/meter"
	"jacinthworks/paths"
	"jacinthworks/relay"
	"jacinthworks/roster"
	"jacinthworks/speed"
	"jacinthworks/split"
)

const (
	// speedsPath is the peer endpoint that returns how fast this entry observed each
	// upstream to be.
	speedsPath = "/v1/speeds"
	// maxSpeedsPerPool bounds the estimates of a pool that the endpoint returns.
	maxSpeedsPerPool = 256
	// maxSpeedsResponse bounds a response with estimates, in bytes: some 40 pools.
	maxSpeedsResponse = 1 << 20
	// speedsInterval is how often the holder of the roles lease asks other entries for
	// their estimates. An upstream's own speed lasts as long as its process.
	speedsInterval = 5 * time.Second
	// maxHostLoadAge is the age up to which the stated load of a host is used. The load
	// lasts for some 600 ms.
	maxHostLoadAge = 300 * time.Millisecond
	// maxHostLoad bounds the figure about a host that another entry reports.
	maxHostLoad = 20
)

// speedPool identifies the upstreams of a service that do the same work.
type speedPool struct {
	service domain.Service
	role    domain.Role
}

// speeds holds the estimates of how fast upstreams are: of plain servers the time for a call,
// of prefill engines for a prompt token, and of the other engines for an event of an answer.
// The key is an instance, so that a restart under the same id voids the estimate. The zero
// value is ready to use; it must not be copied.
type speeds struct {
	mu     sync.RWMutex // leaf lock: no other lock is acquired while it is held
	byPool map[speedPool]*speed.Pool[roster.InstanceKey]
}

// pool returns the estimates of a pool; empty if there are none yet.
func (p *speeds) pool(service domain.Service, role domain.Role) *speed.Pool[roster.InstanceKey] {
	k := speedPool{service, role}
	p.mu.RLock()
	found := p.byPool[k]
	p.mu.RUnlock()
	if found != nil {
		return found
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byPool == nil {
		p.byPool = make(map[speedPool]*speed.Pool[roster.InstanceKey])
	}
	if p.byPool[k] == nil {
		p.byPool[k] = &speed.Pool[roster.InstanceKey]{}
	}
	return p.byPool[k]
}

// pools returns all pools.
func (p *speeds) pools() map[speedPool]*speed.Pool[roster.InstanceKey] {
	p.mu.RLock()
	defer p.mu.RUnlock()
	all := make(map[speedPool]*speed.Pool[roster.InstanceKey], len(p.byPool))
	for k, pool := range p.byPool {
		all[k] = pool
	}
	return all
}

// recordSpeed records work that an upstream did for this entry.
func (s *Server) recordSpeed(service domain.Service, role domain.Role, start roster.Start, o speed.Observation) {
	pool := s.speeds.pool(service, role)
	if !pool.Record(time.Now(), start.Key(), o) {
		return
	}
	s.Log.Info("speed learned", "upstream", start.ID, "service", service, "role", role,
		"factor", math.Round(100*pool.Factor(start.Key()))/100, "observations", pool.Observations(start.Key()))
	s.Meter.Gauge("jacinthworks_speed_factor", meter.Labels{"service", string(service), "upstream", string(start.ID)}, func() float64 {
		u := s.roster.Upstream(start.ID)
		if u == nil {
			return 1
		}
		m := u.Server()
		return s.speeds.pool(m.Service, m.Role).Factor(m.Key())
	})
}

// recentHostLoad returns the temporary load of the upstream's host if a response of the last
// maxHostLoadAge shows it; zero if not.
func recentHostLoad(now time.Time, u *roster.Upstream) float64 {
	load, age, ok := u.Stats.HostLoad(now)
	if !ok || age >= maxHostLoadAge {
		return 0
	}
	return load
}

// slowedByHost returns the time for a unit of work at the current load of the host.
func slowedByHost(now time.Time, u *roster.Upstream, unitTime time.Duration) time.Duration {
	if load := recentHostLoad(now, u); load > 0 {
		return time.Duration(load * float64(unitTime))
	}
	return unitTime
}

// promptTokenTime returns the prefill time per token of an engine: by all prompts that this
// entry tracks, else by its own ones or those of other entries, else that of the median
// engine; zero if nothing is known.
func (s *Server) promptTokenTime(now time.Time, m roster.Server) time.Duration {
	tracked, own := s.trackedSpeeds.pool(m.Service, domain.RolePrefill), s.speeds.pool(m.Service, domain.RolePrefill)
	if t, ok := tracked.UnitTime(now, m.Key()); ok {
		return t
	}
	if t, ok := own.UnitTime(now, m.Key()); ok {
		return t
	}
	if t := tracked.ExpectedUnitTime(now, m.Key()); t > 0 {
		return t
	}
	return own.ExpectedUnitTime(now, m.Key())
}

// relativeTime returns how long an upstream takes for a unit of work relative to the median of
// the upstreams of its service in the same role, 1 if unknown, and from how many observations
// of all entries whose estimates this one has that is known.
func (s *Server) relativeTime(service domain.Service, role domain.Role, start roster.Start) (factor float64, observations int) {
	pool := s.speeds.pool(service, role)
	return pool.Factor(start.Key()), pool.Observations(start.Key())
}

// speedEstimate is an estimate of one upstream as entries exchange it.
type speedEstimate struct {
	ID   roster.ID `json:"id"`
	Born time.Time `json:"born,omitzero"`
	// UnitMicros is the time for a unit of work, in microseconds.
	UnitMicros float64 `json:"unit_us"`
	// Count is the number of observations, and AgeMillis the time since the last one.
	Count     float64 `json:"count"`
	AgeMillis float64 `json:"age_ms"`
}

// peerSpeeds are the estimates of one entry.
type peerSpeeds map[domain.Service]map[domain.Role][]speedEstimate

// ownSpeeds returns what this entry observed, at most maxSpeedsPerPool estimates of a pool.
func (s *Server) ownSpeeds(now time.Time) peerSpeeds {
	all := make(peerSpeeds)
	for k, pool := range s.speeds.pools() {
		estimates := pool.Estimates(now)
		if len(estimates) == 0 {
			continue
		}
		if all[k.service] == nil {
			all[k.service] = make(map[domain.Role][]speedEstimate)
		}
		for _, e := range estimates[:min(len(estimates), maxSpeedsPerPool)] {
			one := speedEstimate{ID: e.Key.ID, UnitMicros: float64(e.UnitTime) / float64(time.Microsecond), Count: float64(e.Count), AgeMillis: float64(e.Age.Milliseconds())}
			if e.Key.StartedAtMillis != 0 {
				one.Born = time.UnixMilli(e.Key.StartedAtMillis).UTC()
			}
			all[k.service][k.role] = append(all[k.service][k.role], one)
		}
	}
	return all
}

// serveSpeeds returns to another entry what this one observed.
func (s *Server) serveSpeeds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.ownSpeeds(time.Now())); err != nil {
		s.Log.Debug("response with the speeds of upstreams not written", "err", err)
	}
}

// errBadSpeeds is the error of estimates that another entry can't have.
var errBadSpeeds = errors.New("direct: the estimates of another entry are malformed")

// check returns an error for an estimate that another entry can't have.
func (e speedEstimate) check() error {
	if e.ID == "" || !validNumber(e.UnitMicros) || !validNumber(e.Count) || !validNumber(e.AgeMillis) {
		return errBadSpeeds
	}
	return nil
}

// decodeSpeeds decodes the estimates of another entry. Those that are malformed, or of a service that is
// unknown here, are left out, and counted in invalid.
func (s *Server) decodeSpeeds(body []byte) (p peerSpeeds, invalid int, err error) {
	c := s.config.Current()
	p = make(peerSpeeds)
	err = split.Members(body, func(service string, byRole []byte) error {
		v := domain.Service(service)
		if c == nil || c.Service(v) == nil {
			invalid++
			return nil
		}
		bad, err := p.decodeRoles(v, byRole)
		invalid += bad
		return err
	})
	if err != nil {
		return nil, invalid, errors.Wrap(errBadSpeeds, err.Error())
	}
	return p, invalid, nil
}

// decodeRoles decodes the estimates of a service.
func (p peerSpeeds) decodeRoles(service domain.Service, byRole []byte) (invalid int, err error) {
	err = split.Members(byRole, func(name string, list []byte) error {
		role := domain.Role(name)
		if role != "" && role != domain.RolePrefill && role != domain.RoleDecode {
			invalid++
			return nil
		}
		estimates, bad, err := split.Decode(list, maxPeerList, speedEstimate.check)
		if err != nil {
			bad++
			estimates = nil
		}
		invalid += bad
		if p[service] == nil {
			p[service] = make(map[domain.Role][]speedEstimate)
		}
		p[service][role] = estimates
		return nil
	})
	return invalid, err
}

// fetchSpeeds asks another entry for its estimates. A response with malformed ones is counted.
func (s *Server) fetchSpeeds(ctx context.Context, p *relay.Peer) (peerSpeeds, error) {
	body, err := callPeerRaw(ctx, p, http.MethodGet, speedsPath, mixTimeout, maxSpeedsResponse, nil)
	if err != nil {
		return nil, err
	}
	found, invalid, err := s.decodeSpeeds(body)
	if err != nil || invalid > 0 {
		s.rejectMessage(speedsPath)
	}
	return found, err
}

// fetchAllSpeeds asks the given entries at once, and returns the estimates of those that
// answered.
func (s *Server) fetchAllSpeeds(ctx context.Context, from []*relay.Peer) (all []peerSpeeds) {
	var calls group.Group
	answers := make([]peerSpeeds, len(from))
	for n, p := range from {
		calls.Call(ctx, string(p.Name), func(ctx context.Context) error {
			found, err := s.fetchSpeeds(ctx, p)
			if err != nil {
				s.Log.Debug("no speeds of upstreams received from entry", "entry", p.Name, "err", err)
			}
			answers[n] = found
			return nil
		})
	}
	calls.Wait()
	for _, found := range answers {
		if found != nil {
			all = append(all, found)
		}
	}
	return all
}

// mergeSpeeds merges the estimates of other entries. Those of an upstream that is unknown
// here, of another instance of it, or of a role that it no longer has are left out. It returns
// the number of estimates that were merged.
func (s *Server) mergeSpeeds(now time.Time, all []peerSpeeds) (count int) {
	merged := make(map[speedPool][]speed.Estimate[roster.InstanceKey])
	for _, p := range all {
		for service, byRole := range p {
			for role, estimates := range byRole {
				k := speedPool{service, role}
				for _, e := range estimates {
					key := roster.Start{ID: e.ID, Born: e.Born}.Key()
					if s.isCurrent(k, key) {
						merged[k] = append(merged[k], speed.Estimate[roster.InstanceKey]{
							Key: key, UnitTime: time.Duration(e.UnitMicros * float64(time.Microsecond)),
							Count: int(e.Count), Age: time.Duration(e.AgeMillis * float64(time.Millisecond)),
						})
					}
				}
			}
		}
	}
	for k, estimates := range merged {
		s.speeds.pool(k.service, k.role).Merge(now, estimates)
		count += len(estimates)
	}
	return count
}

// isCurrent reports whether the instance is a member of the pool.
func (s *Server) isCurrent(k speedPool, key roster.InstanceKey) bool {
	u := s.roster.Upstream(key.ID)
	if u == nil {
		return false
	}
	m := u.Server()
	return m.Key() == key && m.Service == k.service && m.Role == k.role
}

// refreshFleetSpeeds merges the estimates of the entries that are asked for their
// measurements of requests, for the holder of the roles lease. Estimates of upstreams that
// have changed their role are removed, since they would distort the median of the role.
func (s *Server) refreshFleetSpeeds(ctx context.Context) {
	now := time.Now()
	if now.Sub(s.speedsMergedAt) < speedsInterval {
		return
	}
	s.speedsMergedAt = now
	ctx, cancel := context.WithTimeout(ctx, mixTimeout)
	defer cancel()
	all := s.fetchAllSpeeds(ctx, s.peers.fleet.OtherPeers(maxMixPeers))
	for k, pool := range s.speeds.pools() {
		pool.Retain(func(key roster.InstanceKey) bool { return s.isCurrent(k, key) })
	}
	s.mergeSpeeds(time.Now(), all)
}

const (
	// speedPeersAsked is how many entries one asks for their estimates, at its start and then
	// every speedsRefresh: an upstream's own speed lasts as long as its process, and one answer
	// has some kilobytes.
	speedPeersAsked = 2
	speedsRefresh   = 2 * time.Second
	// speedPeersMaxWait is how long an entry that starts waits until it knows others: as long as
	// the first complete read of their records may take.
	speedPeersMaxWait = 10 * time.Second
	speedPeersPoll    = 50 * time.Millisecond
)

// exchangeSpeeds asks two other entries for their estimates at the start, and some others
// periodically where placement follows speeds. An entry among dozens sends an engine a request
// every ten seconds or so; by its own requests alone it would place answers as if all engines
// were equal for minutes.
func (s *Server) exchangeSpeeds(ctx context.Context) error {
	if !s.Settings.PeerListen.IsValid() {
		return nil
	}
	s.learnSpeedsAtStart(ctx)
	for group.Sleep(ctx, speedsRefresh); ctx.Err() == nil; group.Sleep(ctx, speedsRefresh) {
		c := s.config.Current()
		if c != nil && slices.ContainsFunc(c.Services, func(v paths.Service) bool { return s.speedsOn(v.Name) }) {
			s.askForSpeeds(ctx)
		}
	}
	return nil
}

// learnSpeedsAtStart asks for estimates once other entries are known.
func (s *Server) learnSpeedsAtStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, speedPeersMaxWait)
	defer cancel()
	for ; ctx.Err() == nil; group.Sleep(ctx, speedPeersPoll) {
		if s.config.Current() == nil || !s.roster.Loaded() {
			continue
		}
		if asked, answered, merged := s.askForSpeeds(ctx); asked > 0 {
			s.Log.Info("speeds received at the start", "entries", answered, "asked", asked, "estimates", merged)
			return
		}
	}
}

// askForSpeeds asks some other entries, drawn at random, for their estimates.
func (s *Server) askForSpeeds(ctx context.Context) (asked, answered, merged int) {
	others := s.peers.fleet.OtherPeers(maxMixPeers)
	var from []*relay.Peer
	for _, n := range rand.Perm(len(others))[:min(len(others), speedPeersAsked)] {
		from = append(from, others[n])
	}
	found := s.fetchAllSpeeds(ctx, from)
	return len(from), len(found), s.mergeSpeeds(time.Now(), found)
}
