package proxy

import (
	"fmt"
	"sort"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// counterKey identifies a counter of requests. Service and partner are empty for
// a request without a known partner, so that callers can't create any number of
// counters.
type counterKey struct {
	service string
	partner string
	code    sched.Code
}

// count counts the end of a request, and records the latency of an answered one.
func (p *Proxy) count(q *request, code sched.Code) {
	k := counterKey{code: code}
	n := p.rules.Load()
	if q != nil && n != nil && n.partners[q.Partner] {
		k.service, k.partner = q.Service, q.Partner
	}
	c, known := p.counters.Load(k)
	if !known {
		m := &metrics.Counter{}
		if p.Metrics != nil {
			m = p.Metrics.GetOrCreateCounter(fmt.Sprintf(`parsley_requests_total{service=%q,partner=%q,code="%d"}`,
				k.service, k.partner, int(code)))
		}
		c, _ = p.counters.LoadOrStore(k, m)
	}
	c.(*metrics.Counter).Inc()
	if code == sched.CodeAnswered {
		q.latency.Update(p.Clock.Now().Sub(q.started).Seconds())
	}
}

// histogram returns the histogram of a service's latency: the time in seconds
// from the arrival of a request to its answer.
func (p *Proxy) histogram(service string) *metrics.Histogram {
	if p.Metrics == nil {
		return &metrics.Histogram{}
	}
	return p.Metrics.GetOrCreateHistogram(fmt.Sprintf(`parsley_request_seconds{service=%q}`, service))
}

// AnsweredTotals returns the number of answered requests by partner and service since
// the start, sorted. Repeats of an answered id aren't counted, because they did
// not run.
func (p *Proxy) AnsweredTotals() []sched.PartnerTotal {
	var totals []sched.PartnerTotal
	p.counters.Range(func(key, value any) bool {
		k := key.(counterKey)
		if k.code == sched.CodeAnswered {
			totals = append(totals, sched.PartnerTotal{
				Partner: k.partner, Service: k.service, Answers: int64(value.(*metrics.Counter).Get()),
			})
		}
		return true
	})
	sort.Slice(totals, func(i, j int) bool {
		a, b := totals[i], totals[j]
		if a.Partner != b.Partner {
			return a.Partner < b.Partner
		}
		return a.Service < b.Service
	})
	return totals
}

// CountsByCode returns the number of ended requests since the start by code.
func (p *Proxy) CountsByCode() map[sched.Code]uint64 {
	counts := map[sched.Code]uint64{}
	p.counters.Range(func(key, value any) bool {
		counts[key.(counterKey).code] += value.(*metrics.Counter).Get()
		return true
	})
	return counts
}
