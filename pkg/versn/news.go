package versn

import (
	"slices"
	"time"

	"github.com/parsleybarrow/parsleybarrow/pkg/config"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

const (
	// maxUpdateBytes limits the size of the changes in one heartbeat. A burst of
	// 50 changes of 150 bytes takes 4 heartbeats.
	maxUpdateBytes = 2 << 10
	// updateRepeatPause is the time after which a peer that still reports the same
	// version gets the same update again. It limits the traffic if all updates, or
	// all answers of the peer, are lost.
	updateRepeatPause = 4 * time.Second
	// maxSentPeers limits the number of peers for which the last update is
	// remembered.
	maxSentPeers = 4096
	// maxSteps limits the number of changes that are retained for peers.
	maxSteps = 128
)

// sentUpdate describes the last update sent to a peer.
type sentUpdate struct {
	// have is the version that the peer reported before the update.
	have sched.Offset
	at   time.Time
}

// retainStep retains a change for peers, unless it or a later one is retained
// already.
func (r *Replay) retainStep(s sched.ConfigStep) {
	if n := len(r.steps); n > 0 && r.steps[n-1].Version >= s.Version {
		return
	}
	r.steps = append(r.steps, s)
	if len(r.steps) > maxSteps {
		r.steps = slices.Delete(r.steps, 0, 1)
	}
}

// News returns the changes that a peer lacks, given its newest heartbeat h, which
// was received at heardAt. The result is empty if the peer reads the log itself,
// if its version is unknown here or too old for the retained changes, or if the
// heartbeat is so old that the peer may be able to read the log again.
func (r *Replay) News(now, heardAt time.Time, h sched.Heartbeat) sched.ConfigNews {
	to, have := h.From, h.Version
	readsLog := h.SentAt.Sub(h.LogReached) <= logSilence
	if have >= r.inForce.number || readsLog || now.Sub(heardAt) > logSilence {
		return sched.ConfigNews{}
	}
	// After an outage all instances read the log at the same time. Updates would
	// only repeat what the peers are about to read.
	if !r.peers.logSilent(now) && now.Sub(r.peers.logReadSince) <= logSilence {
		return sched.ConfigNews{}
	}
	if s := r.peers.sent[to]; s.have == have && now.Sub(s.at) < updateRepeatPause {
		return sched.ConfigNews{}
	}
	k := slices.IndexFunc(r.steps, func(s sched.ConfigStep) bool { return s.Base == have })
	if k < 0 {
		return sched.ConfigNews{}
	}
	news := sched.ConfigNews{AsOf: r.inForce.asOf}
	bytes := 0
	for _, s := range r.steps[k:] {
		bytes += len(s.Changes) + len(s.Hash)
		if bytes > maxUpdateBytes {
			break
		}
		news.Steps = append(news.Steps, s)
	}
	if len(news.Steps) == 0 {
		return sched.ConfigNews{} // the change is too large, the peer has to fetch a copy
	}
	if last := news.Steps[len(news.Steps)-1].Version; last != r.inForce.number {
		news.AsOf = last // the update ends before the version in force
	}
	if len(r.peers.sent) > maxSentPeers {
		clear(r.peers.sent) // most of the ids belong to instances that have ended
	}
	r.peers.sent[to] = sentUpdate{have, now}
	return news
}

// TakeNews applies the changes in a peer's heartbeat, all or none. It returns true
// if another version is in force afterwards.
func (r *Replay) TakeNews(n sched.ConfigNews) bool {
	v := r.inForce
	var taken []sched.ConfigStep
	for _, s := range n.Steps {
		if s.Version <= v.number {
			continue
		}
		doc, ok := applyPatch(v.doc, &Patch{Changes: s.Changes, Hash: config.Hash(s.Hash)})
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
		r.retainStep(s)
	}
	v.asOf = n.AsOf
	r.adopt(v)
	return true
}
