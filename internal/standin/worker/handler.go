package worker

import (
	"errors"
	"io"
	"net/http"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxCallBytes bounds the body of one call, in bytes.
const maxCallBytes = 1 << 20

// Handler serves workers over HTTP as POST /workers/{id}/exchange. A lost
// answer closes the connection without an answer.
func Handler(workers sched.WorkerClient) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /workers/{id}/exchange", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCallBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		call, err := pjson.DecodeCall(data)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		report, err := workers.Exchange(r.Context(), sched.Member{ID: sched.InstanceID(r.PathValue("id"))}, call)
		status := http.StatusOK
		var body []byte
		switch {
		case err == nil:
			body, err = pjson.EncodeReport(report)
		case errors.Is(err, sched.ErrUnavailable):
			status = http.StatusServiceUnavailable
			body, err = pjson.EncodeRefusal(pjson.Refusal{Code: pjson.RefusalUnavailable})
		default:
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		// A failed write means that the caller is gone.
		_, _ = w.Write(body)
	})
	return mux
}
