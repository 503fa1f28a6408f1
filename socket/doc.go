// Package socket tells the end of a peer's stream from its loss.
//
// # Concept
//
// The body of an HTTP response without a length ends with its connection, so that its
// reader relies on the end of file to mean that the peer has closed its stream. The kernel
// reports the error that ended a connection only once, to the read or the write that comes
// first. If a write takes it, as while an upload is sent, the reads return what had arrived
// and then a plain end of file.
//
// A Conn remembers such an error and returns it from Read in place of the end of file. A
// write that is in progress when a read reaches the end of file may be about to take an
// error, so it is ended first: whatever it would still send, nothing comes back for it.
//
// A reset that follows the end of the peer's stream (FIN) takes nothing away. A write
// returns EPIPE then, since the connection was half closed, and the end of file stands.
//
// # Usage
//
//	connection, err := dialer.DialContext(ctx, "tcp4", address)
//	...
//	response, err := http.ReadResponse(bufio.NewReader(socket.New(connection)), request)
//
// All reads and writes of the connection must go through the Conn.
package socket
