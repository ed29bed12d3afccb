package budget

import "time"

// Limits are the resources of one process. The zero value is not useful; see Of.
type Limits struct {
	// Runtime is the memory limit for the Go runtime, in bytes. It is 0 if the
	// machine's memory is unknown.
	Runtime int64
	// Callers, Peers, Metrics and Probes are the shares of the listeners. A share
	// that is used up leaves the others as they are.
	Callers, Peers, Metrics, Probes Share
	// HeaderLines is the largest number of header lines of a request.
	HeaderLines int
	// Stall is the longest time without progress of a body or of an answer that is
	// being written. Rate is the least average rate of a body that takes longer than
	// Stall, in bytes a second.
	Stall time.Duration
	Rate  int64
}

// Share is the part of a machine that the clients of one listener may take.
type Share struct {
	// Bytes bounds the memory of all connections and requests together.
	Bytes int64
	// Connections bounds the open connections.
	Connections int
}

const (
	// DefaultHeaderLines is more than 16 KiB of header can contain: the shortest line
	// has three bytes, such as "a:\n".
	DefaultHeaderLines = 5500
	// DefaultStall lets a client pause for several lost packets.
	DefaultStall = 10 * time.Second
	// DefaultRate is in bytes a second. It lets a body of 256 KiB take a minute.
	DefaultRate = 4 << 10

	// defaultMemory and defaultDescriptors apply if the machine's limits are unknown.
	defaultMemory      = 1 << 30 // bytes
	defaultDescriptors = 4096
	// fileDescriptors of a process are for files.
	fileDescriptors = 200
	// outsideRuntime is the least memory that the process needs outside the Go heap: about
	// 14 MB of the program's file and the kernel's buffers of sockets.
	outsideRuntime = 24 << 20 // bytes
	// Parts of the memory and of the descriptors by listener. The callers' and peers'
	// parts together are a third of the memory, so that an idle instance, of 25 to 30 MB,
	// and a planner fit beside them and the garbage collector has room.
	callerMemoryPart, peerMemoryPart, smallMemoryPart    = 5, 7, 64
	callerSocketPart, peerSocketPart, smallSocketPart    = 4, 4, 32
	minSmallConnections, minSmallMemory, minMainMemoryMB = 8, 1 << 20, 4
	// connectionPart is the part of a share, in quarters, that connections without a request
	// may take; the rest is for requests. For peers it is larger: each instance has a
	// connection to the planner, and a machine of 284 MB must be able to plan for 300.
	connectionPart, peerConnectionPart, quarters = 2, 3, 4
)

// Of returns the default limits for a machine. A memory, in bytes, or a number of
// descriptors of 0 stands for an unknown limit.
func Of(memory int64, descriptors int) Limits {
	l := Limits{HeaderLines: DefaultHeaderLines, Stall: DefaultStall, Rate: DefaultRate}
	known := memory > 0
	if !known {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	sockets := max(descriptors-fileDescriptors, descriptors/2)
	main := func(part int64, socketPart int, connections, cost int64) Share {
		b := max(memory/part, minMainMemoryMB<<20)
		return Share{Bytes: b, Connections: max(minSmallConnections, min(sockets/socketPart, int(b*connections/quarters/cost)))}
	}
	l.Callers = main(callerMemoryPart, callerSocketPart, connectionPart, ConnectionCost)
	l.Peers = main(peerMemoryPart, peerSocketPart, peerConnectionPart, PeerConnectionCost)
	small := Share{Bytes: max(memory/smallMemoryPart, minSmallMemory)}
	small.Connections = max(minSmallConnections, min(sockets/smallSocketPart, int(small.Bytes*connectionPart/quarters/ConnectionCost)))
	l.Metrics, l.Probes = small, small
	if known {
		received := int64((l.Callers.Connections+Backlog)*CallerReceiveBuffer + (l.Peers.Connections+Backlog)*PeerReceiveBuffer)
		l.Runtime = max(memory-max(memory/5, outsideRuntime)-received, memory/2)
	}
	return l
}

const (
	// CallerReceiveBuffer bounds what the kernel receives for a connection that isn't
	// read, in bytes; the kernel allows twice as much memory. Over 20 ms it allows 1.6 MB/s.
	CallerReceiveBuffer = 32 << 10
	// PeerReceiveBuffer is that of peers' connections, for 3.2 MB/s.
	PeerReceiveBuffer = 64 << 10
	// Backlog is the number of connections of a listener that wait to be accepted. An
	// instance that gets no processor time for 100 ms has up to 100 new ones by then.
	Backlog = 128
	// ConnectionCost is the memory of an open connection of HTTP/1, in bytes: two buffers
	// of 4 KiB and one of 2, up to two goroutines, the objects of net/http, and half of
	// the kernel's buffer.
	ConnectionCost = 32<<10 + CallerReceiveBuffer
	// PeerConnectionCost is that of HTTP/2, whose server has its own buffers, tables and
	// goroutines. It reads at once, so the kernel's buffer is rarely filled.
	PeerConnectionCost = 64<<10 + PeerReceiveBuffer/2
	// lineCost and headerFactor are the memory of a header line and of a byte of it.
	// 1,500 requests with 16 KB of short header lines took 317 KB each, which is 110
	// bytes a line including garbage; a map that is growing holds half as much again.
	lineCost     = 160
	headerFactor = 3
	// bodyFactor is the memory of a byte of a body: the buffer, its copy while it grows
	// or the decoded values, and garbage.
	bodyFactor = 3
	// bodyStep is the smallest amount that is reserved for a body of unknown length.
	bodyStep = 8 << 10 // bytes
)

// HeaderCost returns the memory of a header of the given size, in bytes.
func HeaderCost(lines, bytes int) int64 { return int64(lines)*lineCost + int64(bytes)*headerFactor }

// BodyCost returns the memory of a body. If the length is negative, it is unknown: the
// cost is that of a buffer that holds what has been read and the next bytes. It grows by
// doubling, so it changes rarely.
func BodyCost(length, read int64) int64 {
	if length >= 0 {
		return length * bodyFactor
	}
	size := int64(bodyStep)
	for size < read {
		size *= 2
	}
	return size * bodyFactor
}
