package fleet

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/clock"
)

// Guards against an admin request whose body causes a panic or an unexpected status,
// or is accepted although it can't be a JSON object, an array or null.
func FuzzAdminOrders(f *testing.F) {
	f.Add(uint8(0), `{"outage":true,"lateByMillis":5}`)
	f.Add(uint8(2), `{"dataCentre":"obb-a","cut":true}`)
	f.Add(uint8(3), `{"crashed":true}`)
	f.Add(uint8(4), `[{"id":"e","role":"entry","state":"live","region":"r","dataCentre":"d"}]`)
	h := New(Tiefenquell().WithWorkers(1), clock.NewManual(time.Unix(1000, 0))).adminHandler()
	paths := []string{"log", "roster", "cut", "workers/obb-a-worker-01", "members"}
	f.Fuzz(func(t *testing.T, which uint8, body string) {
		path := paths[int(which)%len(paths)]
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/admin/"+path, strings.NewReader(body)))
		understood := w.Code == http.StatusNoContent
		if !understood && w.Code != http.StatusBadRequest && w.Code != http.StatusNotFound {
			t.Fatalf("%s %q: status %d", path, body, w.Code)
		}
		trimmed := strings.TrimSpace(body)
		if understood && !strings.HasPrefix(trimmed, "{") && !strings.HasPrefix(trimmed, "[") && trimmed != "null" {
			t.Fatalf("%s %q was accepted", path, body)
		}
	})
}
