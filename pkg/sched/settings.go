package sched

import "time"

// Settings is one version of the operators' configuration, validated and with
// defaults filled in. Slices are sorted by name. A Settings value must not be
// modified.
type Settings struct {
	Version   Offset
	Regions   []RegionSettings
	Services  []ServiceSettings
	TaskKinds []TaskKindSettings
	Partners  []PartnerSettings
	Teams     []TeamSettings
	Limits    LimitSettings
}

// RegionSettings lists the data centres of a region.
type RegionSettings struct {
	Name        Region
	DataCentres []DataCentre
}

// ServiceSettings declares a latency-critical service.
type ServiceSettings struct {
	Name    string
	Urgency Urgency
	// Timeout limits the time of a request whose caller gives no shorter
	// deadline.
	Timeout time.Duration
	// Slots and Connections apply to each backend server and are shared by all
	// entry instances.
	Slots       int
	Connections int
	// RetryBudget is the share of requests that may be retried, 0 to 1.
	RetryBudget float64
	// LatencyGoal is the target for the 99th percentile of the service's latency.
	LatencyGoal time.Duration
}

// TaskKindSettings declares a kind of batch task.
type TaskKindSettings struct {
	Name         string
	Urgency      Urgency
	Needs        Resources
	RunTime      time.Duration
	MaxAttempts  int
	MaxEvictions int
}

// PartnerSettings declares a partner.
type PartnerSettings struct {
	Name string
	// Share is the guaranteed minimum share of the capacity, 0 to 1. The shares
	// of all partners sum to at most 1.
	Share float64
}

// TeamSettings declares a team and its quotas, which apply to all entry
// instances together.
type TeamSettings struct {
	Name    string
	Partner string
	// Requests is in requests per second; 0 means no limit.
	Requests float64
	// Resources limits the resources that the team's tasks hold at the same time
	// in one data centre; a field of 0 means no limit.
	Resources Resources
}

// LimitSettings holds the limits that apply to the whole system.
type LimitSettings struct {
	QueueRequests int
	// QueueBytes and AnswerBuffer are in bytes.
	QueueBytes   int64
	AnswerBuffer int64
	// CrossRegion limits the requests and answers that one instance sends to
	// other regions, in bytes per second.
	CrossRegion   int64
	DrainTimeout  time.Duration
	DedupWindow   time.Duration
	LeaseDuration time.Duration
	// ClockBound is the largest difference between the clocks of two machines.
	ClockBound time.Duration
	// IsolationLimit is the time after which an instance that reaches neither
	// the platform nor a peer stops renewing leases.
	IsolationLimit time.Duration
	// ListLag is the longest time by which the platform's list of instances lags
	// behind.
	ListLag time.Duration
	// AheadDepth is the maximum number of tasks that wait on one worker for its
	// resources to become free.
	AheadDepth int
	// UrgencyShares holds the guaranteed minimum share of the capacity for each
	// urgency class, indexed by Urgency.
	UrgencyShares [UrgencyUrgent + 1]float64
}
