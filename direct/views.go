package direct

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/roster"
)

const (
	// UpstreamsPath and ServicesPath are the paths of the views for operators, on the address of
	// the metrics.
	UpstreamsPath = "/views/upstreams"
	ServicesPath  = "/views/services"
)

// UpstreamView is what this entry knows of an upstream.
type UpstreamView struct {
	Service  domain.Service `json:"service"`
	Upstream roster.ID      `json:"upstream"`
	Zone     domain.Zone    `json:"zone"`
	Role     domain.Role    `json:"role,omitempty"`
	// Software is the version of the upstream's software.
	Software domain.Software `json:"software,omitempty"`
	Slots    int             `json:"slots"`
	// Own and Others are the requests in progress from this entry and, as estimated, from others.
	Own    int     `json:"own"`
	Others float64 `json:"others"`
	// Fails is the part of the recent responses that failed.
	Fails float64 `json:"fails"`
	// Factor is the time for a unit of work relative to the median of the pool, from so many
	// Observations, and HostLoad the current load of the host relative to its usual one.
	Factor       float64 `json:"factor"`
	Observations int     `json:"observations"`
	HostLoad     float64 `json:"host_load,omitempty"`
	// Excluded is why the upstream gets nothing new; empty if it may.
	Excluded string `json:"excluded,omitempty"`
}

// upstreamViews returns the views of all upstreams, sorted by service and id.
func (s *Server) upstreamViews(now time.Time) []UpstreamView {
	all := []UpstreamView{}
	c := s.config.Current()
	if c == nil {
		return all
	}
	for _, service := range c.Services {
		for _, u := range s.roster.Upstreams(service.Name) {
			m, k := u.Server(), u.Stats.Candidate(now)
			v := UpstreamView{
				Service: m.Service, Upstream: m.ID, Zone: m.Zone, Role: m.Role, Software: m.Software, Slots: m.Slots,
				Own: k.OwnRequests, Others: round(k.OtherRequests), Fails: round(k.FailureRate), Excluded: string(u.Eligibility(now).Reason),
			}
			if v.Excluded == "" && k.CoolingDown {
				v.Excluded = "cooling_down"
			}
			v.Factor, v.Observations = s.relativeTime(m.Service, m.Role, m.Start)
			v.Factor, v.HostLoad = round(v.Factor), round(recentHostLoad(now, u))
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b UpstreamView) int {
		return strings.Compare(string(a.Service)+"/"+string(a.Upstream), string(b.Service)+"/"+string(b.Upstream))
	})
	return all
}

// ServiceView is what this entry knows of the use of a service over the fleet.
type ServiceView struct {
	Service domain.Service `json:"service"`
	// Slots describes the pool of slots if this entry owns it.
	Slots *SlotsView `json:"slots,omitempty"`
	// Over names the accounts over their shares.
	Over []domain.Account `json:"over"`
}

// SlotsView is the state of a pool of slots at its owner.
type SlotsView struct {
	Servers int `json:"servers"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Limit   int `json:"limit"`
	// PerSecond is the number of slots that become free in a second while all are in use.
	PerSecond float64 `json:"per_second"`
}

// serviceViews returns the views of all services that this entry shares or owns slots of.
func (s *Server) serviceViews(now time.Time) []ServiceView {
	all := []ServiceView{}
	c := s.config.Current()
	if c == nil {
		return all
	}
	for _, service := range c.Services {
		v := ServiceView{Service: service.Name, Over: []domain.Account{}}
		if s.sharesOn() {
			v.Over = append(v.Over, s.sharesOf(service.Name).fleet.OverAccounts(now)...)
		}
		if p := s.slotPools.find(service.Name); p != nil {
			t := p.Totals(now)
			v.Slots = &SlotsView{Servers: t.Servers, Running: t.Running, Waiting: t.Waiting, Limit: t.Limit, PerSecond: round(t.Rate)}
		}
		all = append(all, v)
	}
	return all
}

// round keeps two decimals, which is more than the estimates bear.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// metricsHandler serves the metrics and the views for operators.
func (s *Server) metricsHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("GET "+meter.Path, s.Meter)
	m.Handle("GET "+UpstreamsPath, viewHandler(s, func(now time.Time) any { return s.upstreamViews(now) }))
	m.Handle("GET "+ServicesPath, viewHandler(s, func(now time.Time) any { return s.serviceViews(now) }))
	return s.reportPanics("metrics", m)
}

func viewHandler(s *Server, view func(now time.Time) any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(view(time.Now())); err != nil {
			s.Log.Debug("view not written", "path", h.URL.Path, "err", err)
		}
	})
}
