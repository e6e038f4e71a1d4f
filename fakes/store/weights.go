package store

import (
	"net/http"

	"jacinthworks/fakes/serve"
	"jacinthworks/infra"
)

// The size and the read rate in bytes per second of a model's weights that no test has
// set: 20 GiB at 1 GiB/s.
const (
	defaultWeightsRate = 1 << 30
	defaultWeightsSize = 20 << 30
)

func (p *Platform) getWeights(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.admitCall(w, &p.reads, p.ReadRate, &p.counts.Weights) {
		return
	}
	info, ok := p.weights[r.PathValue("model")]
	if !ok {
		info = infra.WeightsInfo{BytesPerSecond: defaultWeightsRate, Size: defaultWeightsSize}
	}
	serve.WriteJSON(w, http.StatusOK, info)
}

func (p *Platform) putWeights(w http.ResponseWriter, r *http.Request) {
	var info infra.WeightsInfo
	if !serve.ReadJSON(w, r, &info) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.weights == nil {
		p.weights = map[string]infra.WeightsInfo{}
	}
	p.weights[r.PathValue("model")] = info
	serve.WriteJSON(w, http.StatusOK, info)
}
