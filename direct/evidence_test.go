package direct

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"jacinthworks/meter"
)

// Guards against a message of another entry whose lists of tiny elements take an entry past its memory.
func TestEvidenceMessageWithTinyElementsTakesLittleMemory(t *testing.T) {
	for _, name := range []string{"deaths", "survivals", "sound_parts"} {
		s := &Server{Log: hclog.NewNullLogger(), Meter: &meter.Registry{}}
		body := `{"by":"x","evidence":{"` + name + `":[` + strings.Repeat("{},", maxEvidence/3-100) + `{}]},"pass_on":[]}`
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		w := httptest.NewRecorder()
		s.acceptEvidence(w, httptest.NewRequest(http.MethodPost, evidencePath, strings.NewReader(body)))
		runtime.ReadMemStats(&after)
		require.Equal(t, http.StatusOK, w.Code)
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(10*maxEvidence), name)
	}
}
