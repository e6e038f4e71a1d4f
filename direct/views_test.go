package direct

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
)

// Guards against a view that hides an upstream that gets nothing new, or shows a slow one as
// equal to the others.
func TestUpstreamViewShowsSpeedsAndExclusions(t *testing.T) {
	s := newSpeedServer(domain.RoleDecode, 3)
	recordSpeeds(s, domain.RoleDecode, 3, time.Now())
	s.roster.Upstream(engineStart(1).ID).Stats.MarkLeaving(time.Now())
	m := s.metricsHandler()
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, UpstreamsPath, nil))
	require.Equal(t, http.StatusOK, w.Code)
	var all []UpstreamView
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &all))
	require.Len(t, all, 3)
	slowest := 0.0
	for _, v := range all {
		slowest = max(slowest, v.Factor)
		require.Equal(t, v.Upstream == engineStart(1).ID, v.Excluded != "", v)
	}
	require.Greater(t, slowest, 1.5)
	w = httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, ServicesPath, nil))
	var services []ServiceView
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &services))
	require.Equal(t, []ServiceView{{Service: "model", Over: []domain.Account{}}}, services)
}
