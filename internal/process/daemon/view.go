package daemon

import (
	"time"

	"github.com/parsleybarrow/parsleybarrow/internal/version/rules"
	"github.com/parsleybarrow/parsleybarrow/pkg/member"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// Reasons for not being ready.
const (
	reasonNoConfig      = "no configuration in force: neither the log nor a peer has given one since the start"
	reasonMayBeOutdated = "the configuration in force may be older than what peers or the log hold"
	reasonListNotRead   = "the list of instances has not been read since the start, so no backend server is known"
	reasonDraining      = "the instance is shutting down"
)

// view is a snapshot of the control state for the request path and the admin
// interface. It is immutable; the control actor publishes a new one when it has
// handled a message that may have changed the state.
type view struct {
	// settings is nil without a configuration.
	settings *sched.Settings
	// rules holds the compiled settings; nil without a configuration.
	rules *rules.Rules
	ready bool
	// reason says why the instance is not ready.
	reason  string
	leaving bool
	// members is nil before the first publication.
	members *member.View
	// configCopy is the configuration in force.
	configCopy sched.ConfigCopy
	// planner is the instance that plans for the own data centre, if known.
	planner sched.InstanceID
	// term is the newest term in the own data centre's task stream.
	term sched.Offset
	// applied is the offset of the newest task record that was replayed.
	applied sched.Offset
	// logReadAt is when the newest read that the log answered began.
	logReadAt time.Time
	logUp     bool
	listUp    bool
	// versions holds the configuration version that each peer last reported.
	versions map[sched.InstanceID]sched.Offset
	// queued and placed count the open tasks of the own data centre.
	queued int
	placed int
}

// version returns the configuration version in force.
func (v *view) version() sched.Offset { return v.configCopy.Version }

// limits returns the limits in force, or zero limits without a configuration.
func (v *view) limits() sched.LimitSettings {
	if v.settings == nil {
		return sched.LimitSettings{}
	}
	return v.settings.Limits
}

// largestEntries returns the largest number of entry instances that the
// membership table has held at a time, at least 1.
func (v *view) largestEntries() int {
	if v.members == nil {
		return 1
	}
	return max(1, v.members.MaxEntryCount())
}
