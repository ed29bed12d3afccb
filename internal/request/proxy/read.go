package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/pkg/budget"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/retry"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// PathPrefix is the prefix of the paths that callers use: the name of a service
// and a path of the service follow.
const PathPrefix = "/services/"

// maxIDLength bounds the id of a repeatable request, in bytes.
const maxIDLength = 128

// request is a request with the parts of the configuration that were in force
// when it started.
type request struct {
	sched.Request
	retry   *retry.Policy
	latency *metrics.Histogram
	started time.Time
	// repeat is set if the caller says that it sent the same unrepeatable id
	// before.
	repeat bool
}

// refusal is the reason why a request is refused. A zero code means that it
// isn't.
type refusal struct {
	code       sched.Code
	retryAfter time.Duration
	// field names the malformed part of the request.
	field string
}

// rules are the parts of one configuration version that requests need.
type rules struct {
	settings *sched.Settings
	services map[string]*service
	partners map[string]bool
	// teams holds the partner of each team.
	teams map[string]string
}

// service is a service with its retry policy and its latency histogram.
type service struct {
	sched.ServiceSettings
	retry   *retry.Policy
	latency *metrics.Histogram
}

// rulesInForce returns the rules of the version in force, nil if there is none.
// It compiles a version when it first sees it. A service whose retry budget is
// unchanged keeps its retry policy.
func (p *Proxy) rulesInForce() *rules {
	s := p.Settings()
	old := p.rules.Load()
	if s == nil || (old != nil && old.settings == s) {
		return old
	}
	n := &rules{settings: s, services: map[string]*service{}, partners: map[string]bool{}, teams: map[string]string{}}
	for _, v := range s.Services {
		e := &service{ServiceSettings: v, latency: p.histogram(v.Name)}
		if old != nil && old.services[v.Name] != nil && old.services[v.Name].RetryBudget == v.RetryBudget {
			e.retry = old.services[v.Name].retry
		} else {
			e.retry = retry.NewPolicy(v.RetryBudget, p.Seed+uint64(len(n.services)))
		}
		n.services[v.Name] = e
	}
	for _, v := range s.Partners {
		n.partners[v.Name] = true
	}
	for _, v := range s.Teams {
		n.teams[v.Name] = v.Partner
	}
	p.rules.CompareAndSwap(old, n)
	return n
}

// read checks the head of a request, reads its body and takes it from the quota
// of its team.
func (p *Proxy) read(w http.ResponseWriter, r *http.Request) (*request, refusal) {
	now := p.Clock.Now()
	n := p.rulesInForce()
	if n == nil {
		return &request{repeat: isRepeat(r.Header)}, refusal{code: sched.CodeNotReady, retryAfter: time.Second}
	}
	name, path, ok := splitPath(r.URL.RequestURI())
	if !ok {
		return &request{repeat: isRepeat(r.Header)}, refusal{code: sched.CodeBadRequest, field: "path"}
	}
	s := n.services[name]
	if s == nil {
		return &request{repeat: isRepeat(r.Header)}, refusal{code: sched.CodeUnknownService}
	}
	h := r.Header
	q := &request{retry: s.retry, latency: s.latency, started: now, repeat: isRepeat(r.Header), Request: sched.Request{
		ID: h.Get(sched.HeaderRequestID), Service: name, Partner: h.Get(sched.HeaderPartner),
		Team: h.Get(sched.HeaderTeam), Urgency: s.Urgency, Method: r.Method, Path: path,
		Unrepeatable: h.Get(sched.HeaderUnrepeatable) == "true", Deadline: now.Add(s.Timeout),
	}}
	if f := p.check(q, h, n); f.code != 0 {
		return q, f
	}
	if f := p.readBody(q, w, r); f.code != 0 {
		return q, f
	}
	if p.Quota != nil {
		if wait, ok := p.Quota.Take(q.Team, now); !ok {
			return q, refusal{code: sched.CodeQuotaExceeded, retryAfter: wait}
		}
	}
	q.Header = forwardedHeader(h)
	q.retry.CountRequest()
	return q, refusal{}
}

// isRepeat reports whether the headers say that the caller sent the same
// unrepeatable id before.
func isRepeat(h http.Header) bool {
	return h.Get(sched.HeaderUnrepeatable) == "true" && h.Get(sched.HeaderRepeat) == "true"
}

// splitPath splits /services/<service>/<path> into the service and the path with
// the query. An empty path becomes /.
func splitPath(uri string) (name, path string, ok bool) {
	rest, ok := strings.CutPrefix(uri, PathPrefix)
	if !ok {
		return "", "", false
	}
	at := strings.IndexAny(rest, "/?")
	switch {
	case at < 0:
		name, path = rest, "/"
	case rest[at] == '?':
		name, path = rest[:at], "/"+rest[at:]
	default:
		name, path = rest[:at], rest[at:]
	}
	return name, path, name != ""
}

// check checks the method, the partner, the team and the headers, and shortens
// the deadline to the one that the caller asks for.
func (p *Proxy) check(q *request, h http.Header, n *rules) refusal {
	if q.Method != http.MethodPost && q.Method != http.MethodGet {
		return refusal{code: sched.CodeBadRequest, field: "method"}
	}
	if partner, known := n.teams[q.Team]; !n.partners[q.Partner] || q.Team != "" && (!known || partner != q.Partner) {
		return refusal{code: sched.CodeUnknownPartner}
	}
	for _, name := range []string{sched.HeaderUnrepeatable, sched.HeaderRepeat} {
		if text := h.Get(name); text != "" && text != "true" && text != "false" {
			return refusal{code: sched.CodeBadRequest, field: name}
		}
	}
	if text := h.Get(sched.HeaderDeadline); text != "" {
		millis, err := strconv.ParseUint(text, 10, 31)
		if err != nil || millis == 0 {
			return refusal{code: sched.CodeBadRequest, field: sched.HeaderDeadline}
		}
		if d := q.started.Add(time.Duration(millis) * time.Millisecond); d.Before(q.Deadline) {
			q.Deadline = d
		}
	}
	return checkID(q)
}

// checkID checks the request id and gives a repeatable request without an id a
// new one.
func checkID(q *request) refusal {
	if q.Unrepeatable {
		if _, _, err := dedup.ParseID(q.ID); err != nil {
			return refusal{code: sched.CodeIDMissing}
		}
		return refusal{}
	}
	if q.ID == "" {
		u, err := uuid.NewV7()
		if err != nil {
			return refusal{code: sched.CodeNotReady}
		}
		q.ID = u.String()
		return refusal{}
	}
	if len(q.ID) > maxIDLength {
		return refusal{code: sched.CodeBadRequest, field: sched.HeaderRequestID}
	}
	return refusal{}
}

// readBody reads the body up to the limit.
func (p *Proxy) readBody(q *request, w http.ResponseWriter, r *http.Request) refusal {
	limit := p.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return refusal{code: sched.CodeTooLarge}
	}
	if r.ContentLength == 0 {
		return refusal{}
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	// The memory for the body is reserved by its first read, which takes no buffer yet.
	_, err := r.Body.Read(nil)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
	case r.ContentLength > 0:
		q.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(body, q.Body)
	default:
		q.Body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	var refused *budget.RefusedError
	switch {
	case errors.As(err, &refused) && !refused.Slow:
		return refusal{code: sched.CodeOverloaded}
	case errors.As(err, &tooLarge):
		return refusal{code: sched.CodeTooLarge}
	case err != nil:
		return refusal{code: sched.CodeBadRequest, field: "body"}
	}
	return refusal{}
}

// droppedRequestHeaders holds the request headers that aren't forwarded to
// backend servers: those that concern one connection only, and those that the
// sender sets itself.
var droppedRequestHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, sched.HeaderAttempt: true, sched.HeaderRequestID: true,
	sched.HeaderUnrepeatable: true, sched.HeaderRepeat: true,
}

// forwardedHeader returns the headers to forward, without those that the
// Connection header names.
func forwardedHeader(h http.Header) http.Header {
	f := make(http.Header, len(h))
	for name, values := range h {
		if !droppedRequestHeaders[name] {
			f[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			f.Del(strings.TrimSpace(name))
		}
	}
	return f
}
