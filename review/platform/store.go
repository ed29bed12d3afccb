package platform

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keyedTopics   = "keyed."
	lengthBytes   = 4
	pageItems     = 500
	mostReadBytes = 1 << 20
)

// Store is the platform's store: partitions of records, and the newest record of each key.
// Set the exported fields before the first call.
type Store struct {
	// Keep is how long the history of a partition is kept, AppendTime the time that an
	// append takes, and AnswerTime that of any call.
	Keep, AppendTime, AnswerTime time.Duration

	mu         sync.Mutex
	partitions map[string]*partition
	lastWriter string
}

type partition struct {
	first   int64
	records []record
	newest  map[string]keyedRecord
	changed chan struct{}
}

type record struct {
	content []byte
	at      time.Time
}

type keyedRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// partition returns a partition without the records that have expired. s.mu is held.
func (s *Store) partition(topic, part string) *partition {
	if s.partitions == nil {
		s.partitions = map[string]*partition{}
	}
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]keyedRecord{}, changed: make(chan struct{})}
		s.partitions[name] = p
	}
	n := 0
	for n < len(p.records) && time.Since(p.records[n].at) > s.Keep {
		n++
	}
	p.records = slices.Delete(p.records, 0, n)
	p.first += int64(n)
	return p
}

// add appends records. s.mu is held.
func (p *partition) add(keyed bool, contents [][]byte) {
	for _, c := range contents {
		if keyed && len(c) > 0 && len(c) > int(c[0]) {
			key, value := string(c[1:1+int(c[0])]), c[1+int(c[0]):]
			p.newest[key] = keyedRecord{key, value, p.end()}
			if len(value) == 0 {
				delete(p.newest, key)
			}
		}
		p.records = append(p.records, record{c, time.Now()})
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Put writes the record of a key, as the operator and the workers do. Without a value it
// removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.partition(topic, "0").add(true, [][]byte{append(content, value...)})
}

// LastWriter returns the name of the machine whose append under a condition was the last
// to succeed.
func (s *Store) LastWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// Handler returns the store as the machine with the name sees it, over a path that delays
// each call by the given time.
func (s *Store) Handler(machine string, delay time.Duration) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, machine, delay) })
	m.HandleFunc("GET /v1/log-read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, delay) })
	m.HandleFunc("GET /v1/log-newest", func(w http.ResponseWriter, r *http.Request) { s.newestPage(w, r, delay) })
	return m
}

// splitRecords splits the body of an append, and returns false if it is malformed.
func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if body = body[lengthBytes:]; n > len(body) {
			return nil, false
		}
		out = append(out, body[:n:n])
		body = body[n:]
	}
	return out, true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, machine string, delay time.Duration) {
	body, err := io.ReadAll(r.Body)
	contents, valid := splitRecords(body)
	if err != nil || !valid {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(delay/2 + s.AnswerTime)
	q := r.URL.Query()
	topic := q.Get("topic")
	s.mu.Lock()
	time.Sleep(s.AppendTime) // a partition takes its appends one after the other
	p := s.partition(topic, q.Get("part"))
	status, answer := http.StatusOK, map[string]int64{"offset": p.end()}
	if at, err := strconv.ParseInt(q.Get("at"), 10, 64); q.Has("at") && (err != nil || at != p.end()) {
		status = http.StatusPreconditionFailed
	} else {
		p.add(strings.HasPrefix(topic, keyedTopics), contents)
		if q.Has("at") {
			s.lastWriter = machine
		}
	}
	answer["end_offset"] = p.end()
	s.mu.Unlock()
	time.Sleep(delay / 2)
	writeJSON(w, status, answer)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, delay time.Duration) {
	time.Sleep(delay/2 + s.AnswerTime)
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		first, end, changed := p.first, p.end(), p.changed
		var body []byte
		if from >= first && (from < end || !waiting) {
			body = p.encode(from)
		}
		s.mu.Unlock()
		switch {
		case from < first:
			time.Sleep(delay / 2)
			writeJSON(w, http.StatusGone, map[string]int64{"first_offset": first})
			return
		case body != nil:
			time.Sleep(delay / 2)
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the answer to a read: the end and the first offset, and then the records.
func (p *partition) encode(from int64) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	b = binary.BigEndian.AppendUint64(b, uint64(p.first))
	for n := from; n < p.end() && len(b) < mostReadBytes; n++ {
		c := p.records[n-p.first].content
		b = binary.BigEndian.AppendUint32(b, uint32(len(c)))
		b = append(b, c...)
	}
	return b
}

func (s *Store) newestPage(w http.ResponseWriter, r *http.Request, delay time.Duration) {
	time.Sleep(delay/2 + s.AnswerTime)
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("depends_on") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items     []keyedRecord `json:"items"`
		HasMore   bool          `json:"has_more"`
		EndOffset int64         `json:"end_offset"`
	}{Items: []keyedRecord{}, HasMore: len(keys) > pageItems, EndOffset: p.end()}
	for _, k := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, p.newest[k])
	}
	s.mu.Unlock()
	time.Sleep(delay / 2)
	writeJSON(w, http.StatusOK, page)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
