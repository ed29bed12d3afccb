package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// outcomeNames holds the values of the header HeaderOutcome.
var outcomeNames = map[sched.Outcome]string{
	sched.OutcomeAnswered:      "answered",
	sched.OutcomeRefusedNotRun: "refusedNotRun",
	sched.OutcomeFailed:        "failed",
	sched.OutcomeUnknown:       "unknown",
}

// codeEntries holds the rows of the table of codes by code.
var codeEntries = func() map[sched.Code]sched.CodeEntry {
	m := map[sched.Code]sched.CodeEntry{}
	for _, e := range sched.Codes() {
		m[e.Code] = e
	}
	return m
}()

// droppedAnswerHeaders holds the headers of answers of backend servers that
// aren't passed on to callers: those that concern one connection only, and those
// that the proxy sets or evaluates itself.
var droppedAnswerHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Trailer": true, "Upgrade": true,
	"Content-Length": true, sched.HeaderFreeSlots: true, sched.HeaderLeaving: true, sched.HeaderNotRun: true,
	sched.HeaderOutcome: true, sched.HeaderCode: true,
}

// setHeaders sets the headers that every response carries: the request id, the
// outcome and the code.
func (p *Proxy) setHeaders(w http.ResponseWriter, q *request, code sched.Code) {
	h := w.Header()
	if q.ID != "" {
		h[sched.HeaderRequestID] = []string{q.ID}
	}
	h[sched.HeaderOutcome] = []string{outcomeNames[code.Outcome()]}
	h[sched.HeaderCode] = []string{strconv.Itoa(int(code))}
}

// refuse answers a request without an answer of a backend server to pass on: it
// did not run, its outcome is unknown, or its answer is no longer available.
func (p *Proxy) refuse(w http.ResponseWriter, q *request, f refusal) {
	reason := codeEntries[f.code]
	e := reason
	text := e.Name + ": " + e.Meaning
	if q.repeat && f.code.Outcome() == sched.OutcomeRefusedNotRun {
		// The refusal concerns this send only. Whether an earlier send of the
		// id ran is not known here.
		e = codeEntries[sched.CodeUnknownEarlier]
		text = e.Name + ": " + e.Meaning + " Reason: " + text
	}
	p.setHeaders(w, q, e.Code)
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

// answerRepeat answers a request whose claim was not granted: with the kept
// answer if there is one, else with the code of the verdict.
func (p *Proxy) answerRepeat(w http.ResponseWriter, q *request, v dedup.Verdict, a sched.Answer) {
	if a.Status == 0 {
		f := refusal{code: v.Code}
		if v.Code.Outcome() == sched.OutcomeRefusedNotRun || v.Code == sched.CodeUnknownInProgress {
			f.retryAfter = time.Second
		}
		p.refuse(w, q, f)
		return
	}
	p.writeAnswer(w, q, v.Code, a)
}

// answer answers a request by the result of its sends, and then releases the
// backend server.
func (p *Proxy) answer(w http.ResponseWriter, q *request, o requestEnd) {
	a := o.result.Answer
	defer func() {
		closeRest(o.result)
		if o.pick != nil {
			bytes := int64(len(q.Body)+len(a.Body)) + 2*headBytes
			p.Router.Done(o.pick, o.result, bytes, p.Clock.Now())
		}
	}()
	if a.Status == 0 || o.result.Outcome == sched.OutcomeUnknown || o.result.Outcome == sched.OutcomeRefusedNotRun {
		p.refuse(w, q, refusal{code: o.code, retryAfter: retryAfter(o.code)})
		return
	}
	p.writeAnswer(w, q, o.code, a)
}

// closeRest closes the unread rest of a large answer, if there is one.
func closeRest(r sched.SendResult) {
	if r.Answer.Rest != nil {
		_ = r.Answer.Rest.Close()
	}
}

// retryAfter returns the time after which a caller may retry a refused request,
// 0 for other outcomes.
func retryAfter(code sched.Code) time.Duration {
	if code.Outcome() == sched.OutcomeRefusedNotRun {
		return time.Second
	}
	return 0
}

// writeAnswer passes on an answer of a backend server. If a large answer is cut
// short, it aborts the connection to the caller, so that the caller doesn't take
// the answer for complete.
func (p *Proxy) writeAnswer(w http.ResponseWriter, q *request, code sched.Code, a sched.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if !droppedAnswerHeaders[name] {
			h[name] = values
		}
	}
	status := a.Status
	if code == sched.CodeFailedByBackend {
		status = codeEntries[code].Status
	}
	if a.Rest == nil {
		p.setHeaders(w, q, code)
		h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
		w.WriteHeader(status)
		p.count(q, code)
		_, _ = w.Write(a.Body)
		return
	}
	if length := a.Header.Get("Content-Length"); length != "" {
		h["Content-Length"] = []string{length}
	}
	p.setHeaders(w, q, code)
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
