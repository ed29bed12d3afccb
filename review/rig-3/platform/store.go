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

// record is one record of a partition.
type record struct {
	key   string
	value []byte
	raw   []byte
}

// partition is one partition of a topic. It keeps all its records.
type partition struct {
	records []record
	changed chan struct{}
}

// store is a stand-in of the platform's metadata store for keyed topics.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	// answerTime is the time that each answer takes, besides the wait of a read.
	answerTime time.Duration
}

func newStore() *store {
	return &store{partitions: map[string]*partition{}, answerTime: 4 * time.Millisecond}
}

// part returns a partition. s.mu must be held.
func (s *store) part(topic, number string) *partition {
	k := topic + "/" + number
	if s.partitions[k] == nil {
		s.partitions[k] = &partition{changed: make(chan struct{})}
	}
	return s.partitions[k]
}

// put writes a keyed record, as the operator and the workers do. Without a value the key is
// dropped.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.part(topic, "0").add([]record{{key, value, append(raw, value...)}})
}

func (p *partition) add(records []record) {
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.answerTime)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/log-append":
		s.append(w, r, q.Get("topic"), q.Get("part"), q.Get("at"))
	case "/v1/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.read(w, r, q.Get("topic"), q.Get("part"), from, time.Duration(wait)*time.Millisecond)
	case "/v1/log-newest":
		s.newest(w, q.Get("topic"), q.Get("part"), q.Get("depends_on"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// decodeRecords decodes the body of an append to a keyed topic.
func decodeRecords(b []byte) []record {
	var out []record
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n < 1 || n > len(b)-4 {
			return nil
		}
		raw := slices.Clone(b[4 : 4+n])
		k := 1 + int(raw[0])
		out = append(out, record{string(raw[1:k]), raw[k:], raw})
		b = b[4+n:]
	}
	return out
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic, number, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records := decodeRecords(body)
	s.mu.Lock()
	p := s.part(topic, number)
	begin := len(p.records)
	status := http.StatusOK
	if at != "" && at != strconv.Itoa(begin) {
		status = http.StatusPreconditionFailed
	} else {
		p.add(records)
	}
	end := len(p.records)
	s.mu.Unlock()
	writeJSON(w, status, map[string]any{"offset": begin, "end_offset": end})
}

// maxReadBytes is the size of an answer to a read, less the last record.
const maxReadBytes = 1 << 20

func (s *store) read(w http.ResponseWriter, r *http.Request, topic, number string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		p := s.part(topic, number)
		changed, end := p.changed, len(p.records)
		out := make([]byte, 16)
		binary.BigEndian.PutUint64(out, uint64(end))
		for k := from; k < end && len(out) < maxReadBytes; k++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[k].raw)))
			out = append(out, p.records[k].raw...)
		}
		s.mu.Unlock()
		if len(out) > 16 || wait <= 0 || over {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

const (
	pageRecords = 500
	pageBytes   = 1 << 20
)

func (s *store) newest(w http.ResponseWriter, topic, number, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	last := map[string]int{}
	for k, r := range p.records {
		last[r.key] = k
	}
	var keys []string
	for k, at := range last {
		if k > after && len(p.records[at].value) > 0 {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	items, size := []item{}, 0
	for _, k := range keys {
		if len(items) == pageRecords || size >= pageBytes {
			break
		}
		items = append(items, item{k, p.records[last[k]].value, last[k]})
		size += len(p.records[last[k]].value)
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"items": items, "has_more": len(items) < len(keys), "end_offset": len(p.records),
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
