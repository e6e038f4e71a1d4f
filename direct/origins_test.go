package direct

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/meter"
	"jacinthworks/origin"
)

// Guards against a caller's long request ids, or one odd record, that keep an entry that starts from all records of
// streams that another one has.
func TestOddOriginDiscardsNoOther(t *testing.T) {
	s, started := &Server{Log: hclog.NewNullLogger(), Meter: &meter.Registry{}}, &Server{Log: hclog.NewNullLogger(), Meter: &meter.Registry{}}
	now := time.Now()
	for n := range maxOriginsAtStart - 1 {
		id := fmt.Sprintf("%0*d", maxRequestID, n)
		s.origins.Add(now, origin.Record{Request: domain.RequestID(id), Origin: origin.Origin{Service: domain.Service(strings.Repeat("<", maxRequestID)), Software: domain.Software(strings.Repeat("<", maxRequestID))}, Life: time.Minute})
	}
	s.origins.Add(now, origin.Record{Request: domain.RequestID(strings.Repeat("x", maxOriginsResponse)), Origin: origin.Origin{Service: "cards"}, Life: time.Minute})
	all, _ := s.handleOrigins(struct{}{})
	body, err := json.Marshal(all)
	require.NoError(t, err)
	t.Logf("%d records take %d bytes", len(all), len(body))
	require.LessOrEqual(t, len(body), maxOriginsResponse)
	require.Equal(t, maxOriginsAtStart-1, started.mergeOrigins("entry-1", body))
	sound, err := json.Marshal(origin.Record{Request: "one", Origin: origin.Origin{Service: "cards"}, Life: time.Minute})
	require.NoError(t, err)
	require.Equal(t, 1, started.mergeOrigins("entry-1", []byte(`[{"request":7},`+strings.Repeat("[", 20000)+strings.Repeat("]", 20000)+`,`+string(sound)+`]`)))
}
