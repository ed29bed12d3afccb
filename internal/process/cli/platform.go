package cli

import (
	"github.com/parsleybarrow/parsleybarrow/internal/process/peer"
	"github.com/parsleybarrow/parsleybarrow/internal/process/plat"
	"github.com/parsleybarrow/parsleybarrow/pkg/sched"
)

// platform holds the clients of the platform's services and of peers.
type platform struct {
	log     sched.Log
	list    sched.Roster
	workers sched.WorkerClient
	peers   sched.PeerClient
}

func platformLog(u platformURL) sched.Log { return plat.New(string(u)) }

// newPlatform returns clients that live until the process ends. A worker is
// called at its address on the list of instances, or at the URL of the list if
// it has none.
func newPlatform(log, list platformURL) platform {
	l := plat.New(string(list))
	return platform{log: platformLog(log), list: l, workers: l, peers: &peer.Client{HTTP: peer.HTTPClient()}}
}
