package sched

import (
	"strings"
	"time"
)

// Route maps a host and a path prefix to a queue.
type Route struct {
	// Host is the host name that callers use, Prefix the start of the path.
	Host   string
	Prefix string
	// Timeout limits the time for handling one call.
	Timeout time.Duration
	Queue   Queue
}

// ServiceRules is the operator's description of the workers of a service.
type ServiceRules struct {
	Name string
	// RejectsOverload is set if the workers refuse a task that exceeds their free
	// resources. Otherwise they start every task that they are ordered to start.
	RejectsOverload bool
	// Standby is set if the machines of the service are switched off and cost
	// nothing while they are.
	Standby bool
	// Connections is the operator's limit on connections, max_connections.
	Connections int
	HealthPath  string
}

// HTTPLimits holds the limits for callers' HTTP requests. Sizes are in bytes.
type HTTPLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one version of the operator's routes and services. It must not be
// modified.
type Catalog struct {
	Version  int64
	Routes   []Route
	Services []ServiceRules
	Limits   HTTPLimits
}

// Match returns the route of the host with the longest prefix that matches the
// path. It returns false if there is none.
func (c *Catalog) Match(host, path string) (Route, bool) {
	best := -1
	for k, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.Prefix) &&
			(best < 0 || len(r.Prefix) > len(c.Routes[best].Prefix)) {
			best = k
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return c.Routes[best], true
}

// Service returns the rules of the named service, and false if there are none.
func (c *Catalog) Service(name string) (ServiceRules, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return ServiceRules{}, false
}

// Queue returns the named queue, and false if no route leads to one.
func (c *Catalog) Queue(name QueueName) (Queue, bool) {
	for _, r := range c.Routes {
		if r.Queue.Name == name {
			return r.Queue, true
		}
	}
	return Queue{}, false
}
