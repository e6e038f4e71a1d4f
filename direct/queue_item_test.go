package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jacinthworks/domain"
	"jacinthworks/paths"
	"jacinthworks/queue"
	"jacinthworks/search"
)

// Guards against resumed streams that are refused at once: they began longer ago than their target, so that they
// counted as requests that come back late, and got only memory that no new request took.
func TestStreamThatItsCallerResumesIsNotLate(t *testing.T) {
	var queues search.Queues
	v := domain.Software("v1")
	now := time.Now()
	r := &request{
		id: "resumes", info: RequestInfo{LastEvent: "3", Resumes: "began", PromptTokens: 3000}, route: &paths.Route{Target: time.Second, Priority: 2}, service: &paths.Service{Name: "model"},
		accepted: now, firstSent: now.Add(-5 * time.Second), deadline: now.Add(9 * time.Second),
	}
	i, _, late := queueItem(queues.For("model"), r)
	require.True(t, late, "a request that has not begun is late")
	require.False(t, i.FirstTokenDeadline.IsZero())
	r.software = &v
	i, until, late := queueItem(queues.For("model"), r)
	require.False(t, late)
	require.Equal(t, queue.PriorityCount-1, i.Priority)
	require.WithinDuration(t, now.Add(resumeMaxWait), until, 100*time.Millisecond)
	require.Equal(t, margin{}, newVersionedPool("").margin(r, late), "it leaves no memory to requests that have not begun")
}
