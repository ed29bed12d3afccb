package daemon

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/version/rules"
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Reasons for not being ready.
const (
	reasonNoConfig  = "no configuration in force: neither the log nor a peer has given one since the start"
	reasonCatchesUp = "the configuration in force may be older than what peers or the log hold"
	reasonNoList    = "the list of instances has not been read since the start, so no backend server is known"
	reasonDraining  = "the instance is shutting down"
)

// view is what traffic reads. It is immutable; the control actor publishes a
// new one.
type view struct {
	settings *sched.Settings
	// rules are the settings compiled; nil without a configuration.
	rules   *rules.Rules
	ready   bool
	reason  string
	leaving bool
	members *member.View
	copied  sched.ConfigCopy
	// planner is the instance that plans for the own data centre.
	planner sched.InstanceID
	term    sched.Offset
	applied sched.Offset
	logAt   time.Time
	logUp   bool
	listUp  bool
	// versions holds the configuration version that each peer last reported.
	versions map[sched.InstanceID]sched.Offset
	queued   int
	placed   int
}

func (v *view) version() sched.Offset { return v.copied.Version }

// limits returns the limits in force, zero without a configuration.
func (v *view) limits() sched.LimitSettings {
	if v.settings == nil {
		return sched.LimitSettings{}
	}
	return v.settings.Limits
}

// largestEntries is the largest number of entry instances known at a time, at
// least 1.
func (v *view) largestEntries() int {
	if v.members == nil {
		return 1
	}
	return max(1, v.members.LargestEntries())
}
