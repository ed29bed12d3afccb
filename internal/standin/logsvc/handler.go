package logsvc

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxRecordBytes is the size limit of one record.
const maxRecordBytes = 8 << 20

// maxPageBytes is the size limit of the data of one page, apart from its first
// record. Records beyond it are left for the next read.
const maxPageBytes = 4 << 20

// Handler serves a log over HTTP:
//
//	POST /log/append?stream=NAME            the body is the record
//	GET  /log/read?stream=NAME&from=N&limit=N
//
// If the outcome of an append is uncertain, the handler closes the connection
// without an answer.
func Handler(log sched.Log) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/append", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o, err := log.Append(r.Context(), r.URL.Query().Get("stream"), data)
		if err != nil {
			writeError(w, err)
			return
		}
		body, err := pjson.EncodeOffset(o)
		writeJSON(w, http.StatusOK, body, err)
	})
	mux.HandleFunc("GET /log/read", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
		limit, err2 := strconv.Atoi(q.Get("limit"))
		if err := errors.Join(err1, err2); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p, err := log.Read(r.Context(), q.Get("stream"), sched.Offset(from), limit)
		if err != nil {
			writeError(w, err)
			return
		}
		body, err := pjson.EncodePage(limitPage(p))
		writeJSON(w, http.StatusOK, body, err)
	})
	return mux
}

// limitPage cuts a page to maxPageBytes bytes, but never to nothing.
func limitPage(p sched.Page) sched.Page {
	size := 0
	for n, r := range p.Records {
		size += len(r.Data)
		if size > maxPageBytes && n > 0 {
			p.Records = p.Records[:n]
			break
		}
	}
	return p
}

// writeError answers with the status and body of a refusal. For any other error it
// closes the connection.
func writeError(w http.ResponseWriter, err error) {
	var trimmed *sched.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		body, err := pjson.EncodeRefusal(pjson.Refusal{Code: pjson.RefusalTrimmed, Earliest: trimmed.Earliest})
		writeJSON(w, http.StatusGone, body, err)
	case errors.Is(err, sched.ErrUnavailable):
		body, err := pjson.EncodeRefusal(pjson.Refusal{Code: pjson.RefusalUnavailable})
		writeJSON(w, http.StatusServiceUnavailable, body, err)
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, body []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the caller has closed the connection.
	_, _ = w.Write(body)
}
