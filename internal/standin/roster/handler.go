package roster

import (
	"compress/gzip"
	"fmt"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Handler serves a list over HTTP as GET /roster/members. The body is compressed
// if the caller accepts gzip. If the caller's If-None-Match is the entity tag of
// the current list, the answer is status 304 without a body.
func Handler(list sched.Roster) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /roster/members", func(w http.ResponseWriter, r *http.Request) {
		members, err := list.Members(r.Context())
		status := http.StatusOK
		var body []byte
		if err != nil {
			status = http.StatusServiceUnavailable
			body, err = pjson.EncodeRefusal(pjson.Refusal{Code: pjson.RefusalUnavailable})
		} else {
			body, err = pjson.EncodeMembers(members)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if status != http.StatusOK {
			w.WriteHeader(status)
			_, _ = w.Write(body)
			return
		}
		writeWithETag(w, r, body)
	})
	return mux
}

// writeWithETag writes a body with its entity tag, or status 304 if the caller
// already has it. Errors of writes are ignored: they occur only if the caller has
// closed the connection.
func writeWithETag(w http.ResponseWriter, r *http.Request, body []byte) {
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	_, _ = z.Write(body)
	_ = z.Close()
}
