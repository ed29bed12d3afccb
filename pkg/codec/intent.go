package codec

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// maxAnswerIndex is the highest index of an answer within a record. The replay in
// package dedup stores the index in 16 bits.
const maxAnswerIndex = 1<<16 - 1

// EncodeIntents encodes one record of an intent stream.
func EncodeIntents(b dedup.Batch) ([]byte, error) {
	m := &pb.IntentBatch{WrittenAt: b.WrittenAt.UnixNano()}
	for _, e := range b.Entries {
		m.Entries = append(m.Entries, &pb.IntentEntry{
			Kind: int32(e.Kind), Id: e.ID[:], Nonce: e.Nonce, Holder: uint64(e.Holder),
			IdTime: e.IDTime.UnixMilli(), Outcome: int32(e.Outcome),
			AnswerOffset: int64(e.Answer.Offset), AnswerIndex: int32(e.Answer.Index),
		})
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode intents: %w", err)
	}
	return data, nil
}

// DecodeIntents decodes one record of an intent stream. It returns an error if the
// bytes are malformed or a value is out of range, so the replay doesn't have to
// check the entries.
func DecodeIntents(data []byte) (dedup.Batch, error) {
	var m pb.IntentBatch
	if err := proto.Unmarshal(data, &m); err != nil {
		return dedup.Batch{}, fmt.Errorf("decode intents: %w", err)
	}
	b := dedup.Batch{WrittenAt: time.Unix(0, m.GetWrittenAt())}
	for n, e := range m.GetEntries() {
		if err := checkIntentEntry(e); err != nil {
			return dedup.Batch{}, fmt.Errorf("decode intents: entry %d: %w", n, err)
		}
		b.Entries = append(b.Entries, dedup.Entry{
			Kind: dedup.Kind(e.GetKind()), ID: dedup.ID(e.GetId()), Nonce: e.GetNonce(),
			Holder: sched.Incarnation(e.GetHolder()), IDTime: time.UnixMilli(e.GetIdTime()),
			Outcome: sched.Outcome(e.GetOutcome()),
			Answer:  dedup.AnswerRef{Offset: sched.Offset(e.GetAnswerOffset()), Index: int(e.GetAnswerIndex())},
		})
	}
	return b, nil
}

func checkIntentEntry(e *pb.IntentEntry) error {
	kind, outcome := dedup.Kind(e.GetKind()), sched.Outcome(e.GetOutcome())
	switch {
	case kind < dedup.KindIntent || kind > dedup.KindAbandoned:
		return fmt.Errorf("kind is %d, 1 to 3 are allowed", kind)
	case len(e.GetId()) != len(dedup.ID{}):
		return fmt.Errorf("id has %d bytes, 16 are required", len(e.GetId()))
	case kind == dedup.KindOutcome && (outcome < sched.OutcomeAnswered || outcome > sched.OutcomeUnknown):
		return fmt.Errorf("outcome is %d, 1 to 4 are allowed", outcome)
	case e.GetAnswerOffset() < 0 || e.GetAnswerIndex() < 0 || e.GetAnswerIndex() > maxAnswerIndex:
		return fmt.Errorf("answer offset is %d and answer index %d, at least 0 and 0 to %d are allowed",
			e.GetAnswerOffset(), e.GetAnswerIndex(), maxAnswerIndex)
	}
	return nil
}

// KeptAnswer is an answer in an answers stream, with the id of its request.
type KeptAnswer struct {
	ID     dedup.ID
	Answer sched.Answer
}

// EncodeAnswers encodes one record of an answers stream.
func EncodeAnswers(answers []KeptAnswer) ([]byte, error) {
	m := &pb.AnswerBatch{}
	for _, k := range answers {
		a := &pb.KeptAnswer{Id: k.ID[:], Status: int32(k.Answer.Status), Body: k.Answer.Body}
		for name, values := range k.Answer.Header {
			m := &pb.AnswerHeader{Name: name}
			for _, v := range values {
				m.Values = append(m.Values, []byte(v))
			}
			a.Headers = append(a.Headers, m)
		}
		sort.Slice(a.Headers, func(i, j int) bool { return a.Headers[i].GetName() < a.Headers[j].GetName() })
		m.Answers = append(m.Answers, a)
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode answers: %w", err)
	}
	return data, nil
}

// DecodeAnswers decodes one record of an answers stream. It returns an error
// if the bytes are malformed or a value is out of range.
func DecodeAnswers(data []byte) ([]KeptAnswer, error) {
	var m pb.AnswerBatch
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode answers: %w", err)
	}
	answers := make([]KeptAnswer, 0, len(m.GetAnswers()))
	for n, a := range m.GetAnswers() {
		if len(a.GetId()) != len(dedup.ID{}) || a.GetStatus() < 100 || a.GetStatus() > 999 {
			return nil, fmt.Errorf("decode answers: answer %d: id has %d bytes and status is %d, 16 and 100 to 999 are allowed",
				n, len(a.GetId()), a.GetStatus())
		}
		h := make(http.Header, len(a.GetHeaders()))
		for _, v := range a.GetHeaders() {
			for _, b := range v.GetValues() {
				h[v.GetName()] = append(h[v.GetName()], string(b))
			}
		}
		answers = append(answers, KeptAnswer{
			ID:     dedup.ID(a.GetId()),
			Answer: sched.Answer{Status: int(a.GetStatus()), Header: h, Body: a.GetBody()},
		})
	}
	return answers, nil
}
