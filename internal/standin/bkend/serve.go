package bkend

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxBodyBytes is the size limit of a request's body.
const maxBodyBytes = 64 << 20

var _ http.Handler = (*Server)(nil)

// ServeHTTP implements http.Handler. It runs one request in a slot, or refuses
// it, and applies the fault that is drawn for it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http detects that the caller has closed the connection only after
	// the body has been read.
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.Header().Set(sched.HeaderRequestID, r.Header.Get(sched.HeaderRequestID))
		w.Header().Set(sched.HeaderNotRun, "true")
		http.Error(w, errBodyTooLong.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.Observer.recordArrival()
	leaving, ok := s.admit()
	if !ok {
		s.writeNotRun(w, r, leaving)
		return
	}
	slotHeld := true
	release := func() (bool, int) {
		slotHeld = false
		return s.release()
	}
	defer func() {
		if slotHeld {
			s.release()
		}
	}()
	fault, serviceTime, faults := s.drawFault()
	if fault == FaultResetBefore {
		panic(http.ErrAbortHandler)
	}
	if fault == FaultSilentBefore {
		release()
		abortWhenDone(r.Context())
	}
	s.Observer.recordRun(s.ID, r.Header)
	// The run goes on after the caller has closed the connection, as on a real
	// backend server.
	_ = s.Clock.Sleep(noCancel{r.Context()}, serviceTime)
	leaving, free := release()
	switch fault {
	case FaultResetAfter:
		panic(http.ErrAbortHandler)
	case FaultSilentAfter:
		abortWhenDone(r.Context())
	case FaultLate:
		_ = s.Clock.Sleep(r.Context(), faults.LateBy)
	default: // writeAnswer applies the other faults
	}
	s.writeAnswer(w, r, fault, leaving, free)
}

func (s *Server) writeNotRun(w http.ResponseWriter, r *http.Request, leaving bool) {
	s.Observer.recordRefusal()
	h := w.Header()
	h.Set(sched.HeaderRequestID, r.Header.Get(sched.HeaderRequestID))
	h.Set(sched.HeaderNotRun, "true")
	h.Set(sched.HeaderFreeSlots, "0")
	if leaving {
		h.Set(sched.HeaderLeaving, "true")
	}
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, fault Fault, leaving bool, free int) {
	id := r.Header.Get(sched.HeaderRequestID)
	body := s.answerBody(id)
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
	default: // the other faults leave the answer as it is
	}
	w.WriteHeader(status)
	// A write fails only if the caller has closed the connection.
	_, _ = io.WriteString(w, body)
	if fault == FaultTruncated {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// answerBody returns the body of an answer. It contains the request id so that a
// caller can check that the answer belongs to its request.
func (s *Server) answerBody(id string) string {
	b := fmt.Sprintf("%s answered %s\n", s.Service, id)
	if pad := s.AnswerBytes - len(b); pad > 0 {
		b += strings.Repeat(".", pad)
	}
	return b
}
