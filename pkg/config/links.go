package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// checkCrossField checks the rules that involve several values of the merged
// result.
func (c *checker) checkCrossField(root *node) {
	c.checkDataCentres(root)
	c.checkPartners(root)
	c.checkShares("the shares of all partners", partnerShares(root), 0)
	set, defaults := urgencyShares(root)
	c.checkShares("limits.urgencyShares with its defaults", set, defaults)
	c.checkDurations(root)
}

// checkDataCentres checks that every region has data centres and that no data
// centre is listed twice.
func (c *checker) checkDataCentres(root *node) {
	regions := root.get("regions")
	if regions == nil {
		return
	}
	owner := map[string]*node{}
	region := map[string]string{}
	for _, r := range sortedKeys(regions.keys) {
		l := regions.get(r, "dataCentres")
		if l == nil || l.kind != nodeList {
			continue
		}
		path := []string{"regions", r, "dataCentres"}
		if len(l.items) == 0 {
			c.problems = append(c.problems, l.problem(path, "the list is empty", "a list with at least one data centre"))
		}
		for _, d := range l.items {
			if d.kind == nodeInvalid {
				continue
			}
			if first := owner[d.text]; first != nil {
				message := fmt.Sprintf("data centre %s is already in region %s (%s:%d)", d.text, region[d.text], first.file, first.line)
				c.problems = append(c.problems, d.problem(path, message, "a data centre in one region, once"))
				continue
			}
			owner[d.text], region[d.text] = d, r
		}
	}
}

// checkPartners checks that the partner of every team exists.
func (c *checker) checkPartners(root *node) {
	teams := root.get("teams")
	if teams == nil {
		return
	}
	known := map[string]bool{}
	if p := root.get("partners"); p != nil {
		for k := range p.keys {
			known[k] = true
		}
	}
	for _, t := range sortedKeys(teams.keys) {
		p := teams.get(t, "partner")
		if p == nil || p.kind != nodeText || known[p.text] {
			continue
		}
		allowed := describePartners(sortedKeys(known))
		c.problems = append(c.problems, p.problem([]string{"teams", t, "partner"},
			"there is no partner "+quoteTruncated(p.text), allowed))
	}
}

// describePartners lists the allowed partner names, at most 20 of them.
func describePartners(names []string) string {
	const most = 20
	if len(names) == 0 {
		return "a name below partners, which is empty"
	}
	if len(names) > most {
		return strings.Join(names[:most], ", ") + fmt.Sprintf(" and %d more", len(names)-most)
	}
	return strings.Join(names, ", ")
}

// shareValue is one share in a sum that must not exceed 1.
type shareValue struct {
	path []string
	node *node
}

func partnerShares(root *node) []shareValue {
	var all []shareValue
	if p := root.get("partners"); p != nil {
		for _, k := range sortedKeys(p.keys) {
			if n := p.get(k, "share"); n != nil {
				all = append(all, shareValue{[]string{"partners", k, "share"}, n})
			}
		}
	}
	return all
}

// urgencyShares returns the urgency shares that are set, and the sum of the
// defaults of those that are not.
func urgencyShares(root *node) (set []shareValue, defaults float64) {
	for _, k := range urgencyNames {
		n := root.get("limits", "urgencyShares", k)
		if n == nil {
			defaults += defaultLimits.UrgencyShares[urgencies[k]]
			continue
		}
		set = append(set, shareValue{[]string{"limits", "urgencyShares", k}, n})
	}
	return set, defaults
}

// checkShares checks that the shares, added to the given sum, are at most 1. The
// problem is reported at the largest share, which an operator would most likely
// change.
func (c *checker) checkShares(what string, shares []shareValue, sum float64) {
	// Decimal fractions have no exact binary form: adding 0.1 ten times doesn't
	// give 1.
	const rounding = 1e-9
	largest, at := -1.0, shareValue{}
	for _, s := range shares {
		v, ok := s.node.value.(json.Number)
		if !ok {
			continue
		}
		f, _ := v.Float64()
		sum += f
		if f > largest {
			largest, at = f, s
		}
	}
	if at.node != nil && sum > 1+rounding {
		c.problems = append(c.problems, at.node.problem(at.path,
			fmt.Sprintf("%s sum to %s", what, formatNumber(sum)), "a sum of at most 1"))
	}
}

// checkDurations checks the lease against the clock bound, and each service's
// latency goal against its timeout.
func (c *checker) checkDurations(root *node) {
	lease, bound := root.get("limits", "leaseDuration"), root.get("limits", "clockBound")
	l, b := defaultLimits.LeaseDuration, defaultLimits.ClockBound
	at := lease
	if lease != nil {
		l = asDuration(lease.value, l)
	}
	if bound != nil {
		b = asDuration(bound.value, b)
		if at == nil {
			at = bound
		}
	}
	// A lease that isn't clearly longer than the clock difference could expire, by
	// the worker's clock, before it arrives.
	if at != nil && l < 2*b {
		c.problems = append(c.problems, at.problem([]string{"limits", "leaseDuration"},
			fmt.Sprintf("the lease of %s is shorter than twice the clock bound of %s", formatDuration(l), formatDuration(b)),
			"a lease of at least twice limits.clockBound"))
	}
	services := root.get("services")
	if services == nil {
		return
	}
	for _, k := range sortedKeys(services.keys) {
		goal := services.get(k, "latencyGoal")
		if goal == nil {
			continue
		}
		g, timeout := asDuration(goal.value, 0), defaultService.Timeout
		if t := services.get(k, "timeout"); t != nil {
			timeout = asDuration(t.value, timeout)
		}
		if g > timeout {
			c.problems = append(c.problems, goal.problem([]string{"services", k, "latencyGoal"},
				fmt.Sprintf("the goal of %s is longer than the timeout of %s", formatDuration(g), formatDuration(timeout)),
				"a duration of at most the service's timeout"))
		}
	}
}

// asDuration parses the canonical value of a duration. It returns the default if
// the value is absent or malformed.
func asDuration(v any, d time.Duration) time.Duration {
	if s, ok := v.(string); ok {
		if p, err := time.ParseDuration(s); err == nil {
			return p
		}
	}
	return d
}
