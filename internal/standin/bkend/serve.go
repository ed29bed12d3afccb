package bkend

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 64 << 20

var _ http.Handler = (*Server)(nil)

// ServeHTTP implements http.Handler: it runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server watches for the end of the connection only after the body
	// was read.
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		w.Header().Set(sched.HeaderRequestID, r.Header.Get(sched.HeaderRequestID))
		w.Header().Set(sched.HeaderNotRun, "true")
		http.Error(w, errBodyTooLong.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.Observer.arrived()
	leaving, ok := s.admit()
	if !ok {
		s.refuseNotRun(w, r, leaving)
		return
	}
	held := true
	release := func() (bool, int) {
		held = false
		return s.release()
	}
	defer func() {
		if held {
			s.release()
		}
	}()
	fault, took, faults := s.draw()
	if fault == FaultResetBefore {
		panic(http.ErrAbortHandler)
	}
	if fault == FaultSilentBefore {
		release()
		silence(r.Context())
	}
	s.Observer.ran(s.ID, r.Header)
	// The run goes on when the caller is gone, as a real one would.
	_ = s.Clock.Sleep(noCancel{r.Context()}, took)
	leaving, free := release()
	switch fault {
	case FaultResetAfter:
		panic(http.ErrAbortHandler)
	case FaultSilentAfter:
		silence(r.Context())
	case FaultLate:
		_ = s.Clock.Sleep(r.Context(), faults.LateBy)
	default: // the others are in the answer
	}
	s.answer(w, r, fault, leaving, free)
}

func (s *Server) refuseNotRun(w http.ResponseWriter, r *http.Request, leaving bool) {
	s.Observer.refused()
	h := w.Header()
	h.Set(sched.HeaderRequestID, r.Header.Get(sched.HeaderRequestID))
	h.Set(sched.HeaderNotRun, "true")
	h.Set(sched.HeaderFreeSlots, "0")
	if leaving {
		h.Set(sched.HeaderLeaving, "true")
	}
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault, leaving bool, free int) {
	id := r.Header.Get(sched.HeaderRequestID)
	body := s.body(id)
	h := w.Header()
	h.Set(sched.HeaderRequestID, id)
	h.Set(sched.HeaderFreeSlots, strconv.Itoa(free))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if leaving {
		h.Set(sched.HeaderLeaving, "true")
	}
	status := http.StatusOK
	switch fault {
	case FaultWrongID:
		h.Set(sched.HeaderRequestID, "other-"+id)
	case FaultError:
		status = http.StatusInternalServerError
	case FaultTruncated:
		body = body[:len(body)/2]
	default: // the answer is right
	}
	w.WriteHeader(status)
	// A failed write means that the caller is gone.
	_, _ = io.WriteString(w, body)
	if fault == FaultTruncated {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// body is the answer to a request; it names the request so that a caller can
// check that it got its own.
func (s *Server) body(id string) string {
	b := fmt.Sprintf("%s answered %s\n", s.Service, id)
	if pad := s.AnswerBytes - len(b); pad > 0 {
		b += strings.Repeat(".", pad)
	}
	return b
}
