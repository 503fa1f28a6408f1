// Package head checks the heads of HTTP/1.1 responses, strictly, as their bytes are read.
//
// # Concept
//
// Package http repairs what it reads. It takes any three characters that are a number for a
// status, keeps a blank in the name of a field, so that the field isn't found under its name,
// drops all but one of two statements about the end of a body, and ignores a chunked coding in
// a response of HTTP/1.0. A target in trouble that sends such a head gets its response
// believed, with a body that isn't its own.
//
// A Checker reads the same bytes before package http does, and refuses a head by RFC 9112
// sections 4, 5 and 6 and RFC 9110 sections 5 and 15. Each thing that it refuses is a Fault. A
// head is valid only when its last line has been checked, and package http returns no response
// before it has read that line, so no byte has to be held back.
//
// A head with a Fault is no response. Whatever follows on its connection belongs to nobody:
// the connection has to be closed, and nothing is known about the execution of the request.
//
// Accepted are lines that end with a line feed alone and folded fields, which no reader can
// take for something else, except in the fields that state the end of the body.
//
// # Usage
//
// A reader with connections of its own checks what it takes from them:
//
//	checker.Begin()
//	n, err := checker.Check(p)
//
// Others use a Transport in place of an http.Transport:
//
//	client := &http.Client{Transport: head.NewTransport(&http.Transport{})}
//	_, err := client.Do(request)
//	var invalid *head.Error
//	if errors.As(err, &invalid) { ... }
package head
