package roster

import (
	"net/http"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pjson"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Handler serves a list over HTTP as GET /roster/members.
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
		w.WriteHeader(status)
		// A failed write means that the caller is gone.
		_, _ = w.Write(body)
	})
	return mux
}
