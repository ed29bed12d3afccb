package dedup_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/parsleybarrow/parsleybarrow/pkg/dedup"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Guards against a second run of an id whose entries were dropped under a short
// window, when a longer window comes into force and would accept the id again.
func TestForgottenIDsStayRefused(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	h := dedup.Holder{Nonce: func() uint64 { return 2 }}
	h.Window = 10 * time.Minute
	ran := dedup.Entry{Kind: dedup.KindIntent, Nonce: 1, IDTime: start}
	_, ok := h.Apply(1, dedup.Batch{WrittenAt: start, Entries: []dedup.Entry{ran}}, start)
	is.True(ok)
	now := start.Add(20 * time.Minute)
	_, ok = h.Apply(2, dedup.Batch{WrittenAt: now}, now)
	is.True(ok)
	is.Equal(h.State(ran.ID).Status, dedup.StatusFree) // its entries are dropped
	h.Window = time.Hour
	v, decided := h.Claim(ran.ID, start, now)
	is.True(decided)
	is.Equal(v.Code, sched.CodeIDTooOld)
	_, decided = h.Claim(ran.ID, now, now)
	is.True(!decided) // a new id isn't refused
}

// Guards against the code "unknown" for a claim whose request was never sent,
// because the claim was granted only after its caller had given up.
func TestLateGrantIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	h := dedup.Holder{Nonce: func() uint64 { return 7 }}
	h.Window = time.Hour
	v, _ := h.Claim(dedup.ID{1}, now, now)
	b, _ := h.Next(now)
	granted, _ := h.Apply(1, b, now)
	is.True(granted[0].Granted)
	is.Equal(h.Abandon(v.Claim).Code, sched.CodeLogUnavailable)
}
