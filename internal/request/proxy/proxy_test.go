package proxy_test

import (
	"context"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a repeat of an unrepeatable id that runs again, or that gets
// anything but the kept answer.
func TestUnrepeatableRunsOnce(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	id := uuid.Must(uuid.NewV7()).String()
	for n, want := range []string{"100", "102", "102"} {
		a, body, err := r.call(t, "abc", sched.HeaderUnrepeatable, "true", sched.HeaderRequestID, id)
		is.NoErr(err)
		if n == 0 {
			is.NoErr(r.Claims.(interface{ Flush(context.Context) error }).Flush(t.Context()))
		}
		is.Equal(a.Header.Get(sched.HeaderCode), want)
		is.Equal(body, "run abc")
	}
	is.Equal(r.backends[0].runs[id]+r.backends[1].runs[id], 1)
}
