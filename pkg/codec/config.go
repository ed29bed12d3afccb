package codec

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
	"github.com/parsleybarrow/parsleybarrow/pkg/versn"
)

// maxConfigRecordBytes limits the size of a record of the stream "config": a
// document of the largest size and the other fields.
const maxConfigRecordBytes = config.MaxDocumentBytes + 64<<10

var errEmptyRecord = errors.New("record is neither a patch nor a snapshot")

// EncodeConfig encodes one record of the stream "config". It returns an error if
// the entry is neither a patch nor a snapshot.
func EncodeConfig(e versn.Entry) ([]byte, error) {
	r := &pb.ConfigRecord{}
	switch {
	case e.Patch != nil:
		r.Record = &pb.ConfigRecord_Patch{Patch: &pb.ConfigPatch{
			Id:       e.Patch.ID,
			Base:     int64(e.Patch.Base),
			Changes:  e.Patch.Changes,
			Hash:     e.Patch.Hash[:],
			Operator: e.Patch.Operator,
		}}
	case e.Snapshot != nil:
		r.Record = &pb.ConfigRecord_Snapshot{Snapshot: &pb.ConfigSnapshot{
			Version:   int64(e.Snapshot.Version),
			Document:  e.Snapshot.Document,
			ReadTo:    int64(e.Snapshot.ReadTo),
			Writer:    string(e.Snapshot.Writer),
			WrittenAt: e.Snapshot.WrittenAt.UnixNano(),
		}}
	default:
		return nil, errEmptyRecord
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode config record: %w", err)
	}
	return data, nil
}

// DecodeConfig decodes one record of the stream "config". It checks sizes but not
// whether the patch or the document is valid. All instances ignore a record for
// which it returns an error.
func DecodeConfig(data []byte) (versn.Entry, error) {
	if len(data) > maxConfigRecordBytes {
		return versn.Entry{}, fmt.Errorf("decode config record: it has %d bytes, at most %d are allowed",
			len(data), maxConfigRecordBytes)
	}
	r := &pb.ConfigRecord{}
	if err := proto.Unmarshal(data, r); err != nil {
		return versn.Entry{}, fmt.Errorf("decode config record: %w", err)
	}
	if p := r.GetPatch(); p != nil {
		e := versn.Patch{
			ID: p.Id, Base: sched.Offset(p.Base), Changes: p.Changes, Operator: p.Operator,
		}
		if len(p.Hash) != len(e.Hash) {
			return versn.Entry{}, fmt.Errorf("decode config record: the hash has %d bytes, %d are required",
				len(p.Hash), len(e.Hash))
		}
		copy(e.Hash[:], p.Hash)
		return versn.Entry{Patch: &e}, nil
	}
	if s := r.GetSnapshot(); s != nil {
		return versn.Entry{Snapshot: &versn.Snapshot{
			Version:   sched.Offset(s.Version),
			Document:  s.Document,
			ReadTo:    sched.Offset(s.ReadTo),
			Writer:    sched.InstanceID(s.Writer),
			WrittenAt: time.Unix(0, s.WrittenAt),
		}}, nil
	}
	return versn.Entry{}, fmt.Errorf("decode config record: %w", errEmptyRecord)
}
