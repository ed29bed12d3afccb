package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// outcomeNames are the values of HeaderOutcome.
var outcomeNames = map[sched.Outcome]string{
	sched.OutcomeAnswered:      "answered",
	sched.OutcomeRefusedNotRun: "refusedNotRun",
	sched.OutcomeFailed:        "failed",
	sched.OutcomeUnknown:       "unknown",
}

// entries holds the table of codes by code.
var entries = func() map[sched.Code]sched.CodeEntry {
	m := map[sched.Code]sched.CodeEntry{}
	for _, e := range sched.Codes() {
		m[e.Code] = e
	}
	return m
}()

// notPassedOn are the headers of backend servers that don't concern callers.
var notPassedOn = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Upgrade": true,
	"Content-Length": true, sched.HeaderFreeSlots: true, sched.HeaderLeaving: true, sched.HeaderNotRun: true,
	sched.HeaderOutcome: true, sched.HeaderCode: true,
}

// head writes the headers that every response carries.
func (p *Proxy) head(w http.ResponseWriter, q *request, code sched.Code) {
	h := w.Header()
	if q.ID != "" {
		h[sched.HeaderRequestID] = []string{q.ID}
	}
	h[sched.HeaderOutcome] = []string{outcomeNames[code.Outcome()]}
	h[sched.HeaderCode] = []string{strconv.Itoa(int(code))}
}

// refuse answers a request that did not run, or one whose earlier send can't
// be told more about.
func (p *Proxy) refuse(w http.ResponseWriter, q *request, f refusal) {
	reason := entries[f.code]
	e := reason
	text := e.Name + ": " + e.Meaning
	if q.repeat && f.code.Outcome() == sched.OutcomeRefusedNotRun {
		// The refusal speaks of this send only; the fate of the earlier ones
		// is not known here.
		e = entries[sched.CodeUnknownEarlier]
		text = e.Name + ": " + e.Meaning + " Reason: " + text
	}
	p.head(w, q, e.Code)
	if f.field != "" {
		text += " Field: " + f.field + "."
	}
	if f.retryAfter > 0 {
		seconds := (f.retryAfter + time.Second - 1) / time.Second
		w.Header()["Retry-After"] = []string{strconv.FormatInt(int64(seconds), 10)}
	}
	w.Header()["Content-Type"] = []string{"text/plain; charset=utf-8"}
	w.WriteHeader(e.Status)
	_, _ = io.WriteString(w, text+"\n")
	p.count(q, e.Code)
}

// repeat answers a request whose id another claim holds, or that was refused.
func (p *Proxy) repeat(w http.ResponseWriter, q *request, v dedup.Verdict, a sched.Answer) {
	if a.Status == 0 {
		f := refusal{code: v.Code}
		if v.Code.Outcome() == sched.OutcomeRefusedNotRun || v.Code == sched.CodeUnknownInProgress {
			f.retryAfter = time.Second
		}
		p.refuse(w, q, f)
		return
	}
	p.write(w, q, v.Code, a)
}

// answer passes the end of a request on to its caller.
func (p *Proxy) answer(w http.ResponseWriter, q *request, o end) {
	a := o.result.Answer
	defer func() {
		closeRest(o.result)
		if o.pick != nil {
			bytes := int64(len(q.Body)+len(a.Body)) + 2*headBytes
			p.Route.Done(o.pick, o.result, bytes, p.Clock.Now())
		}
	}()
	if a.Status == 0 || o.result.Outcome == sched.OutcomeUnknown || o.result.Outcome == sched.OutcomeRefusedNotRun {
		p.refuse(w, q, refusal{code: o.code, retryAfter: retryAfter(o.code)})
		return
	}
	p.write(w, q, o.code, a)
}

// closeRest ends the stream of an answer that isn't passed on.
func closeRest(r sched.SendResult) {
	if r.Answer.Rest != nil {
		_ = r.Answer.Rest.Close()
	}
}

func retryAfter(code sched.Code) time.Duration {
	if code.Outcome() == sched.OutcomeRefusedNotRun {
		return time.Second
	}
	return 0
}

// write passes on an answer of a backend server. The connection to the caller
// is aborted if a large answer is cut short.
func (p *Proxy) write(w http.ResponseWriter, q *request, code sched.Code, a sched.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if !notPassedOn[name] {
			h[name] = values
		}
	}
	status := a.Status
	if code == sched.CodeFailedByBackend {
		status = entries[code].Status
	}
	if a.Rest == nil {
		p.head(w, q, code)
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
		w.WriteHeader(status)
		p.count(q, code)
		_, _ = w.Write(a.Body)
		return
	}
	if length := a.Header.Get("Content-Length"); length != "" {
		h["Content-Length"] = []string{length}
	}
	p.head(w, q, code)
	w.WriteHeader(status)
	_, err := w.Write(a.Body)
	if err == nil {
		_, err = io.Copy(w, a.Rest)
	}
	if err != nil {
		p.count(q, sched.CodeUnknown)
		p.event("answerCut", q, err.Error())
		panic(http.ErrAbortHandler)
	}
	p.count(q, code)
}
