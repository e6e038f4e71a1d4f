package store

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"jacinthworks/domain"
	"jacinthworks/fakes/serve"
	"jacinthworks/infra"
)

// SetHost adds a host to the host list, or replaces the listed host of the same name.
func (p *Platform) SetHost(h infra.ListedHost) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hosts == nil {
		p.hosts = map[domain.Host]infra.ListedHost{}
	}
	p.hosts[h.Host] = h
	p.updateHostList()
}

// RemoveHost removes a host from the host list.
func (p *Platform) RemoveHost(name domain.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, name)
	p.updateHostList()
}

// updateHostList records a new version of the host list, sorted by name. The caller
// holds p.mu.
func (p *Platform) updateHostList() {
	list := make([]infra.ListedHost, 0, len(p.hosts))
	for _, h := range p.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b infra.ListedHost) int { return cmp.Compare(a.Host, b.Host) })
	p.hostList.Set(time.Now(), list)
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.admitCall(w, &p.reads, p.ReadRate, &p.counts.Hosts) {
		return
	}
	list := p.hostList.At(time.Now().Add(-p.fault.HostLag))
	if list == nil {
		list = []infra.ListedHost{}
	}
	serve.WriteJSON(w, http.StatusOK, list)
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var h infra.ListedHost
	if !serve.ReadJSON(w, r, &h) {
		return
	}
	h.Host = domain.Host(r.PathValue("name"))
	if h.State != infra.HostLive && h.State != infra.HostLeaving {
		http.Error(w, "state is neither live nor leaving", http.StatusBadRequest)
		return
	}
	p.SetHost(h)
	serve.WriteJSON(w, http.StatusOK, h)
}

func (p *Platform) removeHost(w http.ResponseWriter, r *http.Request) {
	p.RemoveHost(domain.Host(r.PathValue("name")))
	w.WriteHeader(http.StatusNoContent)
}
