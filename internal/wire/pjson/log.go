package pjson

import (
	"encoding/json"
	"fmt"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Codes of Refusal.
const (
	// RefusalUnavailable means that the service is unavailable and the call had
	// no effect.
	RefusalUnavailable = "unavailable"
	// RefusalTrimmed means that the log no longer holds the requested record.
	RefusalTrimmed = "trimmed"
)

// Refusal is the body of an answer that refuses a call.
type Refusal struct {
	// Code is RefusalUnavailable or RefusalTrimmed.
	Code string `json:"code"`
	// Earliest is the offset of the oldest record that is held, if the code is
	// RefusalTrimmed.
	Earliest sched.Offset `json:"earliest,omitempty"`
}

// appendedJSON is the answer to an append.
type appendedJSON struct {
	Offset sched.Offset `json:"offset"`
}

type pageJSON struct {
	Earliest sched.Offset `json:"earliest"`
	Next     sched.Offset `json:"next"`
	Records  [][]byte     `json:"records"`
	// First is the offset of the first record. The offsets of the others follow
	// without gaps.
	First sched.Offset `json:"first"`
}

// EncodeRefusal returns a refusal as JSON.
func EncodeRefusal(r Refusal) ([]byte, error) { return json.Marshal(r) }

// DecodeRefusal decodes a refusal. It returns an error for an unknown code.
func DecodeRefusal(data []byte) (Refusal, error) {
	var r Refusal
	if err := json.Unmarshal(data, &r); err != nil {
		return Refusal{}, fmt.Errorf("refusal: %w", err)
	}
	if r.Code != RefusalUnavailable && r.Code != RefusalTrimmed {
		return Refusal{}, fmt.Errorf("unknown refusal code %q", r.Code)
	}
	return r, nil
}

// EncodeOffset returns the answer to an append as JSON.
func EncodeOffset(o sched.Offset) ([]byte, error) { return json.Marshal(appendedJSON{o}) }

// DecodeOffset decodes the answer to an append. It returns an error for an offset
// below 1.
func DecodeOffset(data []byte) (sched.Offset, error) {
	var a appendedJSON
	if err := json.Unmarshal(data, &a); err != nil {
		return 0, fmt.Errorf("offset: %w", err)
	}
	if a.Offset < 1 {
		return 0, fmt.Errorf("offset %d is below 1", a.Offset)
	}
	return a.Offset, nil
}

// EncodePage returns a page of records as JSON. The records must have
// consecutive offsets.
func EncodePage(p sched.Page) ([]byte, error) {
	j := pageJSON{Earliest: p.Earliest, Next: p.Next}
	for _, r := range p.Records {
		j.Records = append(j.Records, r.Data)
	}
	if len(p.Records) > 0 {
		j.First = p.Records[0].Offset
	}
	return json.Marshal(j)
}

// DecodePage decodes a page of records. It returns an error if the range of the
// page is invalid or a record lies outside of it.
func DecodePage(data []byte) (sched.Page, error) {
	var j pageJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return sched.Page{}, fmt.Errorf("page: %w", err)
	}
	if j.Earliest < 1 || j.Next < j.Earliest {
		return sched.Page{}, fmt.Errorf("page from %d to %d is not a range", j.Earliest, j.Next)
	}
	p := sched.Page{Earliest: j.Earliest, Next: j.Next}
	if len(j.Records) == 0 {
		return p, nil
	}
	if j.First < j.Earliest || int64(len(j.Records)) > int64(j.Next-j.First) {
		return sched.Page{}, fmt.Errorf("%d records from %d are outside of %d to %d", len(j.Records), j.First, j.Earliest, j.Next)
	}
	p.Records = make([]sched.Record, len(j.Records))
	for n, d := range j.Records {
		p.Records[n] = sched.Record{Offset: j.First + sched.Offset(n), Data: d}
	}
	return p, nil
}
