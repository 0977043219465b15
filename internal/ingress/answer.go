package ingress

import (
	"net/http"
	"strconv"

	"siskinvale.dev/siskinvale/internal/link"
)

// writeAnswer streams a target's answer to the caller. It returns an error if
// the caller did not receive the complete answer.
func writeAnswer(w http.ResponseWriter, req *request, reply *link.Reply) error {
	h := w.Header()
	link.CopyEndToEnd(h, reply.Header)
	if reply.ContentLength >= 0 && reply.Header.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.FormatInt(reply.ContentLength, 10))
	}
	w.WriteHeader(reply.Status)
	if req.method == http.MethodHead {
		return nil
	}
	return link.CopyBody(w, reply.Body)
}
