package peer

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTime = 500 * time.Millisecond
	// idleConns keeps a connection to every peer of the target scale.
	idleConns = 200
	idleTime  = time.Minute
	// A connection without a frame for silentTime is probed, and discarded if
	// the answer takes longer than probeTime. HTTP/2 would else keep using a
	// connection that hangs. Inside the data centre there is a frame every
	// second, so probes are rare.
	silentTime = 2 * time.Second
	probeTime  = time.Second
)

// HTTPClient returns the client for calls between instances. It speaks HTTP/2
// without TLS: an exchange takes 65 bytes besides the payload, with HTTP/1.1
// 394, which would not fit into 8 KB/s at the target scale.
func HTTPClient() *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConns:       idleConns,
		IdleConnTimeout:    idleTime,
		DisableCompression: true, // the headers would cost more than it saves
		Protocols:          p,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: silentTime, PingTimeout: probeTime},
	}}
}

// Protocols returns what the server of the peer service speaks: HTTP/2 without
// TLS, and HTTP/1.1 for instances of older software.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
