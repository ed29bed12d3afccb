package guard

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Reasons for which clients are refused or closed, as indexes of counts.
const (
	noConnection = iota
	noMemory
	largeHeader
	slow
	evicted
	reasons
)

var reasonNames = [reasons]string{"connections", "memory", "header", "slow", "evicted"}

// Reasons returns the values of the label reason.
func Reasons() []string { return reasonNames[:] }

// Refused returns how many clients were refused or closed for the reason with this index
// of Reasons.
func (g *Guard) Refused(reason int) int64 { return g.counts[reason].Load() }

const (
	// minRetry and retrySpread bound the time after which a refused client comes back. It
	// is spread so that they don't come at once.
	minRetry    = time.Second
	retrySpread = 2 * time.Second
	busyText    = "the resources for requests are used up"
)

func retryAfter() time.Duration { return minRetry + rand.N(retrySpread) }

// answer returns an answer of HTTP/1.1 for a client whose request net/http doesn't see.
func answer(status int, reason string, retry time.Duration) []byte {
	body, header := fmt.Sprintf(`{"error":%q}`, reason), ""
	if retry > 0 {
		body = fmt.Sprintf(`{"error":%q,"retry_after_ms":%d}`, reason, retry.Milliseconds())
		header = fmt.Sprintf("Retry-After: %d\r\n", wholeSeconds(retry))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)
}

func wholeSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

func busyAnswer() []byte { return answer(http.StatusServiceUnavailable, busyText, retryAfter()) }

var largeHeaderAnswer = answer(http.StatusRequestHeaderFieldsTooLarge, "the header is too large", 0)

// answerBusy answers a request that net/http has read.
func answerBusy(w http.ResponseWriter) {
	retry := retryAfter()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", fmt.Sprint(wholeSeconds(retry)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"error":%q,"retry_after_ms":%d}`, busyText, retry.Milliseconds())
}

// log writes one line about the refusals since the last one, if there were any.
func (g *Guard) log() {
	now := g.now()
	if now-g.loggedAt < logInterval {
		return
	}
	var fields []zap.Field
	for k, name := range reasonNames {
		n := g.counts[k].Load()
		if n > g.logged[k] {
			fields = append(fields, zap.Int64(name, n-g.logged[k]))
		}
		g.logged[k] = n
	}
	if fields == nil || g.Log == nil {
		return
	}
	g.loggedAt = now
	bytes, connections := g.Usage()
	g.Log.Warn("requestsRefused", append(fields, zap.String("listener", g.Name),
		zap.Int64("bytesInUse", bytes), zap.Int("connectionsInUse", connections))...)
}
