package lead

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/parsleybarrow/parsleybarrow/internal/process/follow"
	"github.com/parsleybarrow/parsleybarrow/internal/wire/pb"
	"github.com/parsleybarrow/parsleybarrow/pkg/cell"
	"github.com/parsleybarrow/parsleybarrow/pkg/codec"
	"github.com/parsleybarrow/parsleybarrow/pkg/jobs"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Topic is the store's topic with the records of all cells, one partition per cell.
const Topic = "cells"

// TermKey is the key of a cell's term record, which names the instance that plans
// the cell.
const TermKey = "term"

// Term is the content of a term record.
type Term struct {
	ID          sched.InstanceID
	Incarnation sched.Incarnation
	Address     string
	// Number orders the terms of a cell. It is the offset after the record that
	// began the term, 0 in that record itself, since the offset isn't known
	// before the append.
	Number sched.Offset
	// Ended is set in the record by which a planner resigns.
	Ended bool
}

// Same reports whether two term records were written by the same process, which
// an instance and its incarnation identify.
func (t Term) Same(o Term) bool { return t.ID == o.ID && t.Incarnation == o.Incarnation }

func (t Term) encode() ([]byte, error) {
	data, err := proto.Marshal(&pb.CellTerm{
		Instance: string(t.ID), Incarnation: uint64(t.Incarnation), Address: t.Address, Number: int64(t.Number), Ended: t.Ended,
	})
	if err != nil {
		return nil, fmt.Errorf("encode term: %w", err)
	}
	return data, nil
}

func decodeTerm(r sched.KeyedRecord) (Term, error) {
	m := &pb.CellTerm{}
	if err := proto.Unmarshal(r.Value, m); err != nil {
		return Term{}, fmt.Errorf("decode term record at offset %d: %w", r.Offset, err)
	}
	t := Term{
		ID: sched.InstanceID(m.GetInstance()), Incarnation: sched.Incarnation(m.GetIncarnation()),
		Address: m.GetAddress(), Number: sched.Offset(m.GetNumber()), Ended: m.GetEnded(),
	}
	if t.Number == 0 {
		t.Number = r.Offset + 1
	}
	return t, nil
}

// SupersededError reports that another instance plans the cell.
type SupersededError struct {
	Cell int
	Term Term
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("cell %d is planned by %s now", e.Cell, e.Term.ID)
}

const (
	// termAppendTimeout bounds the first append of a term record. The timeout
	// grows by as much with each further attempt, up to maxTimeoutFactor times:
	// the first answer may be lost, but a slow store needs more time.
	termAppendTimeout = 250 * time.Millisecond
	// maxTermAttempts bounds the attempts to append a term record. An attempt
	// fails if the partition has grown since it was read.
	maxTermAttempts = 20
	// termAttemptPause times the number of attempts, at most maxTermAttemptPause, is the
	// time until the next one. A planner that works, and from which the cell moves, stops
	// appending only some round trips after the records have been read.
	termAttemptPause    = 5 * time.Millisecond
	maxTermAttemptPause = 50 * time.Millisecond
	maxTimeoutFactor    = 6
)

// keyedState holds the newest record of each key of a cell's partition, up to
// the offset end.
type keyedState struct {
	partition sched.Partition
	records   map[string]sched.KeyedRecord
	end       sched.Offset
}

func (k *keyedState) apply(records []sched.KeyedRecord) {
	for _, r := range records {
		if old, known := k.records[r.Key]; !known || r.Offset >= old.Offset {
			k.records[r.Key] = r
		}
	}
}

// load reads a cell's partition. The pages of newest records aren't a snapshot, so
// the records appended since the first page are read in order afterwards. Each
// record holds the whole state of its key, so the one with the highest offset
// replaces the others.
func load(c context.Context, s sched.Store, p sched.Partition) (*keyedState, error) {
	k := &keyedState{partition: p, records: map[string]sched.KeyedRecord{}}
	records, end, err := follow.Newest(c, s, p)
	if err != nil {
		return nil, err
	}
	k.apply(records)
	k.end = end
	return k, k.catchUp(c, s)
}

// catchUp reads the records that were appended since the last read.
func (k *keyedState) catchUp(c context.Context, s sched.Store) error {
	for {
		b, err := follow.ReadWithRetry(c, func(x context.Context) (sched.Batch, error) { return s.Read(x, k.partition, k.end, 0) })
		if err != nil {
			return err
		}
		k.apply(b.Records)
		k.end += sched.Offset(len(b.Records))
		if k.end >= b.End || len(b.Records) == 0 {
			return nil
		}
	}
}

// appendTerm appends a term record at the end of what was read and returns the
// number of the new term. It returns a *SupersededError if a term is in force that is
// neither the one to replace nor one of this process.
func (k *keyedState) appendTerm(c context.Context, s sched.Store, cell int, t, replaces Term) (sched.Offset, error) {
	value, err := t.encode()
	if err != nil {
		return 0, err
	}
	for n := range maxTermAttempts {
		switch now := k.newestTerm(); {
		case now.Same(t) && now.Number > replaces.Number:
			return now.Number, nil // an append whose answer was lost has succeeded
		case now.ID != "" && !now.Ended && !now.Same(replaces) && !now.Same(t):
			return 0, &SupersededError{cell, now}
		}
		x, cancel := context.WithTimeout(c, min(time.Duration(n+1), maxTimeoutFactor)*termAppendTimeout)
		end, err := s.Append(x, k.partition, k.end, []sched.KeyedRecord{{Key: TermKey, Value: value}})
		cancel()
		if err == nil {
			k.end = end
			return end, nil
		}
		var moved *sched.EndError
		if !errors.As(err, &moved) && !errors.Is(err, sched.ErrUncertain) {
			return 0, err
		}
		select {
		case <-time.After(min(time.Duration(n+1)*termAttemptPause, maxTermAttemptPause)):
		case <-c.Done():
		}
		if err := k.catchUp(c, s); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("cell %d: %w: term record not appended in %d attempts",
		cell, sched.ErrUnavailable, maxTermAttempts)
}

// newestTerm returns the newest term. It is empty if there is no term record or if
// that can't be decoded.
func (k *keyedState) newestTerm() Term {
	r, known := k.records[TermKey]
	if !known {
		return Term{}
	}
	t, err := decodeTerm(r)
	if err != nil {
		return Term{}
	}
	return t
}

// NewestTerm reads the newest term record of a cell, without its other records. The term is
// empty if there is none.
func NewestTerm(c context.Context, s sched.Store, cell int) (Term, error) {
	before := TermKey[:len(TermKey)-1] // sorts just before TermKey
	page, err := follow.ReadWithRetry(c, func(x context.Context) (sched.NewestPage, error) {
		return s.Newest(x, Partition(cell), before)
	})
	if err != nil {
		return Term{}, err
	}
	k := &keyedState{records: map[string]sched.KeyedRecord{}}
	k.apply(page.Records)
	return k.newestTerm(), nil
}

// progressDecoder adds the progress that a record holds to a job.
type progressDecoder func(j *jobs.Job, progress []byte) error

// decodeJobs returns the jobs of the cell. Records that can't be decoded are logged
// and skipped.
func (k *keyedState) decodeJobs(log *zap.Logger, decode progressDecoder) []*jobs.Job {
	var out []*jobs.Job
	for key, r := range k.records {
		id, found := strings.CutPrefix(key, cell.RunPrefix)
		if !found || len(r.Value) == 0 {
			continue
		}
		j, err := k.decodeJob(sched.JobID(id), r.Value, decode)
		if err != nil {
			log.Error("badRecord", zap.String("key", key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
			continue
		}
		out = append(out, j)
	}
	return out
}

// decodeJob returns a job as its records have it. A panic counts as a record that can't be
// decoded, so that it costs one job and not the cell.
func (k *keyedState) decodeJob(id sched.JobID, progress []byte, decode progressDecoder) (j *jobs.Job, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("decode job %s: panic: %v", id, r)
		}
	}()
	s := sched.Job{ID: id}
	if r := k.records[cell.JobPrefix+string(id)]; len(r.Value) > 0 {
		if s, err = codec.DecodeJob(id, r.Value); err != nil {
			return nil, err
		}
	}
	j = jobs.New(s)
	return j, decode(j, progress)
}
