// Package link carries requests from an ingress to the sidecar beside the
// target and the answers back. It defines the forwarded call and its reply,
// their form in HTTP/2 headers, and the connections between nodes.
//
// Plain HTTP/2 requests are used for forwarded work, and connect-go for
// control messages: net/http streams bodies both ways with bounded memory and
// without a message frame around each chunk.
package link
