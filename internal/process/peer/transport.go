package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxIdleConns is enough for a connection to every peer at the target scale.
	maxIdleConns = 200
	idleTimeout  = time.Minute
	// A connection that receives no frame for pingAfter gets an HTTP/2 ping and
	// is closed if the answer takes longer than pingTimeout. Without the ping,
	// HTTP/2 would go on using a connection that hangs. Inside a data centre
	// there is a frame every second, so pings are rare.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
)

// HTTPClient returns the HTTP client for calls between instances. It uses HTTP/2
// without TLS: an exchange of heartbeats then has an overhead of 65 bytes,
// compared with 394 over HTTP/1.1, which would exceed the budget of 8 KB/s at
// the target scale.
func HTTPClient() *http.Client {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:       maxIdleConns,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true, // the extra headers are larger than the savings
		Protocols:          p,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}

// Uncompressed is the option of a client that asks for answers without compression.
// Most messages are small, and compressing one takes more processor time than the rest
// of the call.
var Uncompressed = connect.WithAcceptCompression("gzip", nil, nil)

// Protocols returns the protocols of the server of the peer service: HTTP/2
// without TLS, and HTTP/1.1 for instances that run older software.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}
