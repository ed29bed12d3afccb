package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/parsleybarrow/parsleybarrow/internal/process/admin"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// sendTries is the number of instances that a caller tries.
	sendTries = 4
	sendPause = 100 * time.Millisecond
	sendTime  = 4 * time.Second
	taskTries = 8
	taskTime  = 6 * time.Second
	maxAnswer = 1 << 20
)

// outcomes are the header values of the outcomes.
var outcomes = map[string]sched.Outcome{
	"answered":      sched.OutcomeAnswered,
	"refusedNotRun": sched.OutcomeRefusedNotRun,
	"failed":        sched.OutcomeFailed,
	"unknown":       sched.OutcomeUnknown,
}

// send sends a request, as a caller does that repeats it at another instance
// until it is answered. Repeating is safe for an unrepeatable one too, as long
// as the id stays the same.
func (l *Load) send(r *rand.Rand, id string, once bool) sched.Outcome {
	end := sched.OutcomeRefusedNotRun
	for range sendTries {
		switch o := l.sendOnce(r, id, once, end == sched.OutcomeUnknown); o {
		case sched.OutcomeAnswered, sched.OutcomeFailed:
			return o
		case sched.OutcomeUnknown:
			// A later refusal doesn't tell whether this one ran.
			end = o
		case sched.OutcomeRefusedNotRun:
		}
		time.Sleep(sendPause)
	}
	return end
}

func (l *Load) sendOnce(r *rand.Rand, id string, once, repeat bool) sched.Outcome {
	at := l.pick(r)
	if at == "" {
		return sched.OutcomeRefusedNotRun
	}
	c, cancel := context.WithTimeout(context.Background(), sendTime)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+at+"/services/"+l.Service+"/run", bytes.NewReader([]byte(id)))
	if err != nil {
		return sched.OutcomeRefusedNotRun
	}
	// Without GetBody the client repeats nothing by itself.
	q.GetBody = nil
	q.Header.Set(sched.HeaderPartner, l.Partner)
	q.Header.Set(sched.HeaderTeam, l.Team)
	q.Header.Set(sched.HeaderRequestID, id)
	if once {
		q.Header.Set(sched.HeaderUnrepeatable, "true")
		q.Header.Set(sched.HeaderRepeat, strconv.FormatBool(repeat))
	}
	a, err := l.HTTP.Do(q)
	if err != nil {
		return ofError(err)
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswer)); err != nil {
		return sched.OutcomeUnknown
	}
	o, known := outcomes[a.Header.Get(sched.HeaderOutcome)]
	if !known {
		return sched.OutcomeUnknown
	}
	if o == sched.OutcomeAnswered && a.Header.Get(sched.HeaderRequestID) != id {
		l.mu.Lock()
		l.mixed++
		l.mu.Unlock()
	}
	return o
}

// ofError tells a request that was never sent from one that may have run.
func ofError(err error) sched.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return sched.OutcomeRefusedNotRun
	}
	return sched.OutcomeUnknown
}

func (l *Load) pick(r *rand.Rand) string {
	all := l.Callers()
	if len(all) == 0 {
		return ""
	}
	return all[r.IntN(len(all))]
}

// task submits a task, and repeats the submission while its outcome is
// unknown.
func (l *Load) task(kind string, r *rand.Rand) {
	body, err := json.Marshal(admin.Submission{ID: uuid.Must(uuid.NewV7()).String(), Kind: kind, Partner: l.Partner})
	if err != nil {
		return
	}
	var s admin.Submission
	_ = json.Unmarshal(body, &s)
	end, at := sched.OutcomeRefusedNotRun, l.pick(r)
	for range taskTries {
		o := l.submit(at, body)
		if o == sched.OutcomeAnswered {
			l.mu.Lock()
			l.tasks = append(l.tasks, s.ID)
			l.mu.Unlock()
			return
		}
		if o == sched.OutcomeUnknown {
			end = o
		}
		if o == sched.OutcomeRefusedNotRun && end != sched.OutcomeUnknown {
			break
		}
		time.Sleep(sendPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if end == sched.OutcomeUnknown {
		l.counts.TasksUnknown++
		return
	}
	l.counts.TasksRefused++
}

func (l *Load) submit(at string, body []byte) sched.Outcome {
	c, cancel := context.WithTimeout(context.Background(), taskTime)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+at+"/tasks", bytes.NewReader(body))
	if err != nil {
		return sched.OutcomeRefusedNotRun
	}
	a, err := l.HTTP.Do(q)
	if err != nil {
		return ofError(err)
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswer))
	if o, known := outcomes[a.Header.Get(sched.HeaderOutcome)]; known {
		return o
	}
	return sched.OutcomeUnknown
}
