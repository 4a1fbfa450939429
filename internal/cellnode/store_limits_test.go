package cellnode

import (
	"net/http"
	"testing"
	"time"

	"cactuswall.example/cactuswall/internal/appender"
)

// Guards against owners that store nothing any more because a round, or the progress of one step, is larger than an append may be.
func TestRoundsStayWithinLimitsOfStore(t *testing.T) {
	t.Parallel()
	d := newTestCluster(t, 0)
	d.store.limits = appender.Limits{RecordBytes: 500, CallBytes: 700}
	d.startNode(0)
	d.waitForOwner()
	many, other := testIDPrefix+"60", testIDPrefix+"61"
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+many, "many", http.StatusOK, "")
	d.requestUntil(10*time.Second, 0, http.MethodGet, "/q/"+many, "", http.StatusOK, "completed")
	d.requestUntil(2*time.Second, 0, http.MethodPost, "/q/"+other, "spec", http.StatusOK, "")
	d.requestUntil(5*time.Second, 0, http.MethodGet, "/q/"+other, "", http.StatusOK, "completed")
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	if d.store.rejected > 0 {
		t.Errorf("the store rejected %d appends", d.store.rejected)
	}
}
