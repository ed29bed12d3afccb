package hosts

import "github.com/parsleybarrow/parsleybarrow/pkg/share"

// FillerRoom is the room of a worker for fillers.
type FillerRoom struct {
	// Room is the utilization that the serving tasks can bear beside the present fillers.
	share.Room
	// Idle is the share of the worker's processors that the other tasks leave unused, and
	// Demand the share that the present fillers would use.
	Idle, Demand float64
}

// Speed returns the share of its full speed that another filler would have, given the share
// of the worker's processors that it uses.
func (r *FillerRoom) Speed(part float64) float64 { return min(1, r.Idle/(r.Demand+part)) }

// fillerMemory is what a worker remembers about its room for fillers.
type fillerMemory struct {
	// room was computed for the version of the worker, if known is set.
	room    FillerRoom
	version int
	known   bool
}

// FillerRoom returns the room of the worker for fillers. It is computed again only when
// something has changed on the worker.
func (h *Host) FillerRoom(m *share.Model) *FillerRoom {
	f := &h.fillers
	if f.known && f.version == h.Version {
		return &f.room
	}
	v := FillerRoom{Room: m.Room(h.Serving(), h.FillerMix()), Idle: 1}
	for _, s := range h.Slots {
		need := h.ProcessorShare(s.Step.Needs.Processors)
		switch {
		case s.Serving != nil:
			v.Idle -= need * s.Serving.Expected()
		case s.Step.Filler && s.Crowded:
		case s.Step.Filler:
			v.Demand += need
		default:
			v.Idle -= need
		}
	}
	f.room, f.version, f.known = v, h.Version, true
	return &f.room
}
