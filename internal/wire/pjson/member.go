package pjson

import (
	"encoding/json"
	"fmt"

	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

type resourcesJSON struct {
	Processors   int64 `json:"processors"`
	Memory       int64 `json:"memory"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

type memberJSON struct {
	ID          sched.InstanceID  `json:"id"`
	Incarnation sched.Incarnation `json:"incarnation,omitempty"`
	Role        string            `json:"role"`
	State       string            `json:"state"`
	Region      sched.Region      `json:"region"`
	DataCentre  sched.DataCentre  `json:"dataCentre"`
	Rack        string            `json:"rack,omitempty"`
	Address     string            `json:"address,omitempty"`
	Service     string            `json:"service,omitempty"`
	Slots       int               `json:"slots,omitempty"`
	Connections int               `json:"connections,omitempty"`
	Host        sched.InstanceID  `json:"host,omitempty"`
	Capacity    resourcesJSON     `json:"capacity,omitzero"`
}

// EncodeMembers returns a list of instances as JSON.
func EncodeMembers(list []sched.Member) ([]byte, error) {
	out := make([]memberJSON, len(list))
	for n, m := range list {
		out[n] = memberJSON{
			ID: m.ID, Incarnation: m.Incarnation, Role: roleNames.byValue[m.Role], State: stateNames.byValue[m.State],
			Region: m.Region, DataCentre: m.DataCentre, Rack: m.Rack, Address: m.Address,
			Service: m.Service, Slots: m.Slots, Connections: m.Connections, Host: m.Host,
			Capacity: resourcesJSON(m.Capacity),
		}
	}
	return json.Marshal(out)
}

// DecodeMembers decodes a list of instances. It returns an error for an unknown
// role or state and for a missing id.
func DecodeMembers(data []byte) ([]sched.Member, error) {
	var in []memberJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	list := make([]sched.Member, len(in))
	for n, j := range in {
		role, err := roleNames.parse(j.Role)
		if err != nil {
			return nil, fmt.Errorf("member %q: %w", j.ID, err)
		}
		state, err := stateNames.parse(j.State)
		if err != nil {
			return nil, fmt.Errorf("member %q: %w", j.ID, err)
		}
		if j.ID == "" {
			return nil, fmt.Errorf("member %d has no id", n)
		}
		list[n] = sched.Member{
			ID: j.ID, Incarnation: j.Incarnation, Role: role, State: state,
			Region: j.Region, DataCentre: j.DataCentre, Rack: j.Rack, Address: j.Address,
			Service: j.Service, Slots: j.Slots, Connections: j.Connections, Host: j.Host,
			Capacity: sched.Resources(j.Capacity),
		}
	}
	return list, nil
}
