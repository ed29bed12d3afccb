package daemon

import (
	"context"
	"fmt"
	"net/http"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/pkg/event"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// serveUsage reports the usage of a partner: the requests answered by all
// instances, and the runs of the current month in the own data centre.
func (d *Daemon) serveUsage(w http.ResponseWriter, r *http.Request) {
	x, cancel := context.WithTimeout(r.Context(), askTimeout)
	defer cancel()
	partner := r.URL.Query().Get("partner")
	if partner == "" {
		http.Error(w, "partner is missing", http.StatusBadRequest)
		return
	}
	u := admin.Usage{
		Partner: partner, Runs: map[string]int64{}, AsOf: map[string]int64{}, RequestsAtInstance: map[string]int64{},
	}
	err := d.callControl(x, func(k *control) {
		now := d.Clock.Now()
		u.Requests = k.usage.Answers(partner)
		for _, e := range k.usage.All() {
			if e.Partner == partner {
				u.RequestsAtInstance[fmt.Sprintf("%s/%d", e.Instance, e.Incarnation)] += e.Answers
			}
		}
		u.Runs[string(d.DataCentre)] = k.plan.ledger.Usage(partner, now).Runs
		u.AsOf[sched.UsageStream] = int64(k.usageOffset)
		u.AsOf[sched.TaskStreamPrefix+string(d.DataCentre)] = int64(k.plan.ledger.Applied())
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, u)
}

// serveDeclareDead appends an operator's declaration that an instance, or a
// whole data centre if no instance is named, is dead.
func (d *Daemon) serveDeclareDead(w http.ResponseWriter, r *http.Request) {
	x, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	instance := sched.InstanceID(r.URL.Query().Get("instance"))
	centre := sched.DataCentre(r.URL.Query().Get("dataCentre"))
	if centre == "" {
		http.Error(w, "dataCentre is missing; with it alone the whole data centre is declared dead", http.StatusBadRequest)
		return
	}
	err := d.submit(x, centre, sched.TaskEntry{Kind: sched.EntryDeclaredDead, Instance: instance})
	if err == nil {
		d.recordChange(event.KindDeclaredDead, fmt.Sprintf("%s %s", centre, instance))
	}
	d.answerTask(w, codeOf(err, sched.CodeAccepted), err, admin.TaskAnswer{})
}
