package platform

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// serversTopic and operatorTopic are the topics that only the platform writes to.
	serversTopic  = "keyed.servers"
	operatorTopic = "keyed.op"
	// pageItems is the most items on one page of newest records.
	pageItems = 500
	// missedHeartbeats is the number of heartbeats without a sign of life after which
	// the entry of a worker is removed.
	missedHeartbeats = 3
)

// record is one record of a partition.
type record struct {
	key    string
	value  []byte
	offset int64
	at     time.Time
}

// partition is one partition of a keyed topic. Records before first have expired.
type partition struct {
	records []record
	first   int64
	newest  map[string]record
	changed chan struct{}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// store is the platform's log, kept in memory.
type store struct {
	// keep is how long the history is retained; the newest record of a key is for good.
	keep time.Duration
	// heartbeat is the interval at which workers report.
	heartbeat time.Duration

	mu    sync.Mutex
	parts map[string]*partition
	seen  map[string]time.Time // of each listed worker
}

func newStore(keep, heartbeat time.Duration) *store {
	return &store{keep: keep, heartbeat: heartbeat, parts: map[string]*partition{}, seen: map[string]time.Time{}}
}

// part returns a partition, which is created on first use. s.mu must be held.
func (s *store) part(topic, number string) *partition {
	name := topic + "/" + number
	p := s.parts[name]
	if p == nil {
		p = &partition{newest: map[string]record{}, changed: make(chan struct{})}
		s.parts[name] = p
	}
	for len(p.records) > 0 && time.Since(p.records[0].at) > s.keep {
		p.records, p.first = p.records[1:], p.first+1
	}
	return p
}

// add appends a record. s.mu must be held.
func (p *partition) add(key string, value []byte) {
	r := record{key, value, p.end(), time.Now()}
	p.records = append(p.records, r)
	if p.newest[key] = r; len(value) == 0 {
		delete(p.newest, key)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// write appends a record of the operator or of a worker.
func (s *store) write(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(key, value)
}

// has reports whether a partition has a record of the key.
func (s *store) has(topic, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.part(topic, "0").newest[key]
	return known
}

// register takes a sign of life of a worker. Its record changes if its entry has.
func (s *store) register(id string, entry []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id] = time.Now()
	p := s.part(serversTopic, "0")
	if old, listed := p.newest[id]; !listed || string(old.value) != string(entry) {
		p.add(id, entry)
	}
}

// expire removes the entries of workers that have been silent for too long.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.seen {
		if time.Since(at) > missedHeartbeats*s.heartbeat {
			delete(s.seen, id)
			s.part(serversTopic, "0").add(id, nil)
		}
	}
}

// handler returns the store's interface.
func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/log-append", s.serveAppend)
	m.HandleFunc("GET /v1/log-read", s.serveRead)
	m.HandleFunc("GET /v1/log-newest", s.serveNewest)
	m.HandleFunc("POST /rig/register", func(_ http.ResponseWriter, r *http.Request) {
		if b, err := io.ReadAll(r.Body); err == nil {
			s.register(r.URL.Query().Get("id"), b)
		}
	})
	return m
}

// splitRecords returns the records of an append, false if they are malformed.
func splitRecords(b []byte) ([]record, bool) {
	const lengthBytes = 4
	var out []record
	for len(b) > 0 {
		if len(b) < lengthBytes+1 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if b = b[lengthBytes:]; n < 1 || n > len(b) || 1+int(b[0]) > n {
			return nil, false
		}
		k := 1 + int(b[0])
		out = append(out, record{key: string(b[1:k]), value: slices.Clone(b[k:n])})
		b = b[n:]
	}
	return out, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, valid := splitRecords(body)
	q := r.URL.Query()
	topic := q.Get("topic")
	switch {
	case err != nil || !valid:
		w.WriteHeader(http.StatusBadRequest)
		return
	case topic == serversTopic || topic == operatorTopic:
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, q.Get("part"))
	if q.Has("at") && q.Get("at") != strconv.FormatInt(p.end(), 10) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end_offset": p.end()})
		return
	}
	offset := p.end()
	for _, x := range records {
		p.add(x.key, x.value)
	}
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": p.end()})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"first_offset": first})
			return
		}
		if from < p.end() || wait == 0 {
			b := p.encode(from)
			s.mu.Unlock()
			_, _ = w.Write(b)
			return
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the answer to a read from an offset.
func (p *partition) encode(from int64) []byte {
	const most = 1 << 20 // bytes
	b := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	b = binary.BigEndian.AppendUint64(b, uint64(p.first))
	for k := max(0, from-p.first); k < int64(len(p.records)) && len(b) < most; k++ {
		x := p.records[k]
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(x.key)+len(x.value)))
		b = append(b, byte(len(x.key)))
		b = append(append(b, x.key...), x.value...)
	}
	return b
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	q := r.URL.Query()
	after := q.Get("depends_on")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	items, more := []item{}, false
	for _, k := range slices.Sorted(maps.Keys(p.newest)) {
		if k <= after {
			continue
		}
		if len(items) == pageItems {
			more = true
			break
		}
		items = append(items, item{k, p.newest[k].value, p.newest[k].offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": p.end()})
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
