package cli

import (
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/plat"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// platform holds the clients of the outside services.
type platform struct {
	log     sched.Log
	list    sched.Roster
	workers sched.WorkerClient
	peers   sched.PeerClient
}

func platformLog(u platformURL) sched.Log { return plat.New(string(u)) }

// newPlatform returns clients that serve until the process ends. Workers are
// reached at their address on the list, else where the list is.
func newPlatform(log, list platformURL) platform {
	l := plat.New(string(list))
	return platform{log: platformLog(log), list: l, workers: l, peers: &peer.Client{HTTP: peer.HTTPClient()}}
}
