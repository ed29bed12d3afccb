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
	// sendAttempts and taskAttempts bound the attempts of one send of a request
	// and of the submission of a task, the first included.
	sendAttempts = 4
	taskAttempts = 8
	// sendTimeout and taskTimeout bound one attempt.
	sendTimeout = 4 * time.Second
	taskTimeout = 6 * time.Second
	// retryPause is the pause after an attempt.
	retryPause = 100 * time.Millisecond
	// maxAnswer bounds the part of an answer that is read, in bytes.
	maxAnswer = 1 << 20
)

// outcomes holds the outcomes by the value of HeaderOutcome.
var outcomes = map[string]sched.Outcome{
	"answered":      sched.OutcomeAnswered,
	"refusedNotRun": sched.OutcomeRefusedNotRun,
	"failed":        sched.OutcomeFailed,
	"unknown":       sched.OutcomeUnknown,
}

// send sends a request to an instance chosen at random, and again until it is
// answered or fails or the attempts are used up. This is safe for an
// unrepeatable request too, because the id stays the same.
func (l *Generator) send(r *rand.Rand, id string, unrepeatable bool) sched.Outcome {
	end := sched.OutcomeRefusedNotRun
	for range sendAttempts {
		switch o := l.sendOnce(r, id, unrepeatable, end == sched.OutcomeUnknown); o {
		case sched.OutcomeAnswered, sched.OutcomeFailed:
			return o
		case sched.OutcomeUnknown:
			// A later refusal doesn't prove that this send did not run.
			end = o
		case sched.OutcomeRefusedNotRun:
		}
		time.Sleep(retryPause)
	}
	return end
}

// sendOnce makes one attempt. repeat reports that an earlier attempt may have
// run.
func (l *Generator) sendOnce(r *rand.Rand, id string, unrepeatable, repeat bool) sched.Outcome {
	at := l.pick(r)
	if at == "" {
		return sched.OutcomeRefusedNotRun
	}
	c, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+at+"/services/"+l.Service+"/run", bytes.NewReader([]byte(id)))
	if err != nil {
		return sched.OutcomeRefusedNotRun
	}
	// Without GetBody the HTTP client doesn't repeat the request by itself.
	q.GetBody = nil
	q.Header.Set(sched.HeaderPartner, l.Partner)
	q.Header.Set(sched.HeaderTeam, l.Team)
	q.Header.Set(sched.HeaderRequestID, id)
	if unrepeatable {
		q.Header.Set(sched.HeaderUnrepeatable, "true")
		q.Header.Set(sched.HeaderRepeat, strconv.FormatBool(repeat))
	}
	a, err := l.HTTP.Do(q)
	if err != nil {
		return outcomeOfError(err)
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
		l.mixedUp++
		l.mu.Unlock()
	}
	return o
}

// outcomeOfError returns OutcomeRefusedNotRun if the dial failed, so that
// nothing was sent, else OutcomeUnknown.
func outcomeOfError(err error) sched.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return sched.OutcomeRefusedNotRun
	}
	return sched.OutcomeUnknown
}

// pick returns a random address, empty if no instance accepts requests.
func (l *Generator) pick(r *rand.Rand) string {
	all := l.CallerAddresses()
	if len(all) == 0 {
		return ""
	}
	return all[r.IntN(len(all))]
}

// task submits a task, and repeats the submission with the same id at the same
// instance until it is accepted, is refused before any attempt had an unknown
// outcome, or the attempts are used up.
func (l *Generator) task(kind string, r *rand.Rand) {
	body, err := json.Marshal(admin.Submission{ID: uuid.Must(uuid.NewV7()).String(), Kind: kind, Partner: l.Partner})
	if err != nil {
		return
	}
	var s admin.Submission
	_ = json.Unmarshal(body, &s)
	end, at := sched.OutcomeRefusedNotRun, l.pick(r)
	for range taskAttempts {
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
		time.Sleep(retryPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if end == sched.OutcomeUnknown {
		l.counts.TasksUnknown++
		return
	}
	l.counts.TasksRefused++
}

// submit makes one attempt to submit a task.
func (l *Generator) submit(at string, body []byte) sched.Outcome {
	c, cancel := context.WithTimeout(context.Background(), taskTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+at+"/tasks", bytes.NewReader(body))
	if err != nil {
		return sched.OutcomeRefusedNotRun
	}
	a, err := l.HTTP.Do(q)
	if err != nil {
		return outcomeOfError(err)
	}
	defer func() { _ = a.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswer))
	if o, known := outcomes[a.Header.Get(sched.HeaderOutcome)]; known {
		return o
	}
	return sched.OutcomeUnknown
}
