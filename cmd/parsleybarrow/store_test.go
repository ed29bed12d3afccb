package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/emu/store"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// storeServer serves an emulated store by the protocol of the users' platform.
type storeServer struct {
	store store.Store
	// held is set while calls get no answer.
	held atomic.Bool
}

func (s *storeServer) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/log-append", s.append)
	m.HandleFunc("GET /v1/log-read", s.read)
	m.HandleFunc("GET /v1/log-newest", s.newest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.held.Load() {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		m.ServeHTTP(w, r)
	})
}

// partitionOf returns the partition that a call names. Only keyed topics are known.
func partitionOf(r *http.Request) sched.Partition {
	q := r.URL.Query()
	n, _ := strconv.Atoi(q.Get("part"))
	return sched.Partition{Topic: strings.TrimPrefix(q.Get("topic"), "keyed."), Number: n}
}

func (s *storeServer) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []sched.KeyedRecord
	for len(body) > 0 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		k := 5 + int(body[4])
		records = append(records, sched.KeyedRecord{Key: string(body[5:k]), Value: body[k:n]})
		body = body[n:]
	}
	at := sched.AnyEnd
	if text := r.URL.Query().Get("at"); text != "" {
		n, _ := strconv.ParseInt(text, 10, 64)
		at = sched.Offset(n)
	}
	end, err := s.store.Append(time.Now(), partitionOf(r), at, records)
	var moved *sched.EndError
	switch {
	case errors.As(err, &moved):
		answer(w, http.StatusPreconditionFailed, map[string]any{"end_offset": moved.End})
	case err != nil:
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": err.Error()})
	default:
		answer(w, http.StatusOK, map[string]any{"offset": end - sched.Offset(len(records)), "end_offset": end})
	}
}

func (s *storeServer) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		b, appended, err := s.store.Read(time.Now(), partitionOf(r), sched.Offset(from))
		var trimmed *sched.TrimmedError
		if errors.As(err, &trimmed) {
			answer(w, http.StatusGone, map[string]any{"first_offset": trimmed.Earliest})
			return
		}
		if len(b.Records) == 0 && wait > 0 {
			select {
			case <-appended:
			case <-over:
				wait = 0
			case <-r.Context().Done():
				return
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(b.End))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, x := range b.Records {
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.Key)+len(x.Value)))
			out = append(append(append(out, byte(len(x.Key))), x.Key...), x.Value...)
		}
		_, _ = w.Write(out)
		return
	}
}

// newest answers with the first page, which holds all records of the tests.
func (s *storeServer) newest(w http.ResponseWriter, r *http.Request) {
	page := s.store.Newest(time.Now(), partitionOf(r), "")
	items := []map[string]any{}
	for _, x := range page.Records {
		items = append(items, map[string]any{"key": x.Key, "value": x.Value, "offset": x.Offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": page.End})
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
