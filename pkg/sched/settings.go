package sched

import "time"

// Settings is one version of the operators' configuration, checked and
// complete. Slices are sorted by name. A Settings value is never changed.
type Settings struct {
	Version   Offset
	Regions   []RegionSettings
	Services  []ServiceSettings
	TaskKinds []TaskKindSettings
	Partners  []PartnerSettings
	Teams     []TeamSettings
	Limits    LimitSettings
}

// RegionSettings names the data centres of a region.
type RegionSettings struct {
	Name        Region
	DataCentres []DataCentre
}

// ServiceSettings declares a latency-critical service.
type ServiceSettings struct {
	Name    string
	Urgency Urgency
	// Timeout is the longest time of a request, applied when the caller gives
	// no shorter deadline.
	Timeout time.Duration
	// Slots and Connections are per backend server, shared by all instances.
	Slots       int
	Connections int
	// RetryBudget is the share of requests that may be retried, 0 to 1.
	RetryBudget float64
	// LatencyGoal is the 99th percentile that the service should keep.
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
	// Share is the guaranteed minimum part of the capacity, 0 to 1. The sum
	// over all partners is at most 1.
	Share float64
}

// TeamSettings declares a team and its quotas over all instances.
type TeamSettings struct {
	Name    string
	Partner string
	// Requests is in requests per second; 0 means no limit.
	Requests float64
	// Resources bounds what the team's tasks hold at a time in one data
	// centre; zero fields mean no limit.
	Resources Resources
}

// LimitSettings holds the limits of the whole system.
type LimitSettings struct {
	QueueRequests int
	// QueueBytes and AnswerBuffer are in bytes.
	QueueBytes   int64
	AnswerBuffer int64
	// CrossRegion is in bytes per second and instance, for requests and
	// answers to other regions.
	CrossRegion   int64
	DrainTimeout  time.Duration
	DedupWindow   time.Duration
	LeaseDuration time.Duration
	// ClockBound is the largest difference between two clocks.
	ClockBound time.Duration
	// IsolationLimit is the time after which an instance that reaches neither
	// the platform nor a peer stops to renew leases.
	IsolationLimit time.Duration
	// ListLag is the largest lag of the platform's list.
	ListLag time.Duration
	// AheadDepth is the number of tasks bound ahead per worker.
	AheadDepth int
	// UrgencyShares are the guaranteed minimum parts of the capacity per
	// urgency class, indexed by Urgency.
	UrgencyShares [UrgencyUrgent + 1]float64
}
