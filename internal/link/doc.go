// Package link forwards calls from an ingress to the sidecar on the target's VM
// and returns the answers. It defines the forwarded call and its reply, their
// encoding in HTTP/2 headers, and the connections between nodes.
//
// Forwarded calls are plain HTTP/2 requests, while control messages use
// connect-go: net/http streams bodies both ways with bounded memory and without
// a message frame around each chunk.
package link
