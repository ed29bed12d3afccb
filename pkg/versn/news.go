package versn

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// newsBytes bounds the changes in one heartbeat. A burst of 50 changes of
	// 150 bytes needs 4 heartbeats.
	newsBytes = 2 << 10
	// newsPause is the time before a peer that still reports the same version
	// gets the same news again: they or its answers may be lost all the time.
	newsPause = 4 * time.Second
	// maxSent bounds the peers that are remembered for newsPause.
	maxSent = 4096
	// keptSteps bounds the changes that are kept for peers.
	keptSteps = 128
)

// sentNews is the newest news sent to a peer.
type sentNews struct {
	have sched.Offset
	at   time.Time
}

func (r *Replay) keepStep(s sched.ConfigStep) {
	if n := len(r.steps); n > 0 && r.steps[n-1].Version >= s.Version {
		return
	}
	r.steps = append(r.steps, s)
	if len(r.steps) > keptSteps {
		r.steps = slices.Delete(r.steps, 0, 1)
	}
}

// News returns what brings a peer on whose newest heartbeat h was heard at a
// time. It is empty for peers that read the log themselves, for those whose
// version is too old or not known here, and for heartbeats that are old: what
// they say of the log says nothing of now.
func (r *Replay) News(now, heardAt time.Time, h sched.Heartbeat) sched.ConfigNews {
	to, have := h.From, h.Version
	reads := h.SentAt.Sub(h.LogReached) <= logSilence
	if have >= r.force.number || reads || now.Sub(heardAt) > logSilence {
		return sched.ConfigNews{}
	}
	// After an outage of the log every instance reads it at the same time;
	// news would repeat what the peers are about to read.
	if !r.peers.silent(now) && now.Sub(r.peers.logSince) <= logSilence {
		return sched.ConfigNews{}
	}
	if s := r.peers.sent[to]; s.have == have && now.Sub(s.at) < newsPause {
		return sched.ConfigNews{}
	}
	k := slices.IndexFunc(r.steps, func(s sched.ConfigStep) bool { return s.Base == have })
	if k < 0 {
		return sched.ConfigNews{}
	}
	news := sched.ConfigNews{AsOf: r.force.asOf}
	bytes := 0
	for _, s := range r.steps[k:] {
		bytes += len(s.Changes) + len(s.Hash)
		if bytes > newsBytes {
			break
		}
		news.Steps = append(news.Steps, s)
	}
	if len(news.Steps) == 0 {
		return sched.ConfigNews{} // too large; the peer fetches a copy
	}
	if last := news.Steps[len(news.Steps)-1].Version; last != r.force.number {
		news.AsOf = last // later versions exist
	}
	if len(r.peers.sent) > maxSent {
		clear(r.peers.sent) // ids of instances that are long gone
	}
	r.peers.sent[to] = sentNews{have, now}
	return news
}

// TakeNews takes the changes that a heartbeat brings. It returns true if
// another version is in force.
func (r *Replay) TakeNews(n sched.ConfigNews) bool {
	v := r.force
	var taken []sched.ConfigStep
	for _, s := range n.Steps {
		if s.Version <= v.number {
			continue
		}
		doc, ok := result(v.doc, &Patch{Changes: s.Changes, Hash: config.Hash(s.Hash)})
		if s.Base != v.number || !ok {
			return false
		}
		v = version{s.Version, doc, s.Version}
		taken = append(taken, s)
	}
	if len(taken) == 0 || n.AsOf < v.number {
		return false
	}
	for _, s := range taken {
		r.keepStep(s)
	}
	v.asOf = n.AsOf
	r.adopt(v)
	return true
}
