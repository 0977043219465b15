package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadBytes   = 200 << 10
	pieceBytes    = 8 << 10
	pieceInterval = 5 * time.Millisecond
	// answeredAfter is how much of a request a server reads before it answers.
	answeredAfter = 32 << 10
	// readsOnAfter is how long such a server waits before it reads on.
	readsOnAfter = 200 * time.Millisecond
	// answerBytes is the size of the answer.
	answerBytes = 2 << 20
)

// uploadBody is the body of an upload: its offset, in each eight bytes.
func uploadBody() []byte {
	body := make([]byte, uploadBytes)
	for i := 0; i < len(body); i += 8 {
		binary.BigEndian.PutUint64(body[i:], uint64(i))
	}
	return body
}

func init() { cases["early"] = early }

// early lets servers answer long requests before they have read them, keep the
// connection and read on later.
func early(f *fleet, trouble bool) (breaks []string, err error) {
	want, whole := uploadBody(), strings.Repeat("0123456789abcde\n", answerBytes/16)
	var mu sync.Mutex
	var reads, complete atomic.Int64
	report := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		breaks = append(breaks, fmt.Sprintf(format, args...))
	}
	serve := func(s *server, c net.Conn, _ *bufio.Reader, r *http.Request) bool {
		attempt := r.Header.Get(headerAttempt)
		got := make([]byte, answeredAfter)
		n, err := io.ReadFull(r.Body, got)
		got = got[:n]
		if err == nil && trouble {
			f.rec.log("server %s answers %s after %d bytes", s.id, attempt, n)
			if !s.answer(c, r, http.StatusOK, whole) {
				return false
			}
			time.Sleep(readsOnAfter)
		}
		rest, restErr := io.ReadAll(r.Body)
		got = append(got, rest...)
		reads.Add(1)
		at := 0
		for at < len(got) && at < len(want) && got[at] == want[at] {
			at++
		}
		f.rec.log("server %s read %d bytes of %s, the first %d as sent; end: %v", s.id, len(got), attempt, at, restErr)
		switch {
		case at < len(got):
			report("UNASKED: server %s got other bytes from offset %d of the body of %s: the next word says offset %d (%d bytes in all, end: %v)",
				s.id, at, attempt, wordAt(got, at), len(got), restErr)
		case restErr == nil && len(got) < len(want):
			report("UNASKED: server %s got %d of %d bytes of the body of %s as if it were whole", s.id, len(got), len(want), attempt)
		case restErr == nil:
			complete.Add(1)
		}
		if restErr != nil {
			return false
		}
		if trouble {
			return true
		}
		return s.answer(c, r, http.StatusOK, whole)
	}
	for _, zone := range []string{"quimper-a", "brest-b"} {
		if _, err := f.addMachine(zone, oldService, &server{serve: serve}); err != nil {
			return nil, err
		}
	}
	f.writeConfiguration(oldVersion, []route{{name: "r-1", host: "ficu95.example", prefix: "/pufi791/", kind: "download", service: oldService, timeoutMS: 4000, targetMS: 1000, attempts: 2}})
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if err := f.awaitReady(8 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for i := range 20 {
		m := f.machines[i%len(f.machines)]
		m.upload(fmt.Sprintf("upload-%d", i), want)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	f.rec.log("servers read %d requests, %d of them whole", reads.Load(), complete.Load())
	if reads.Load() < 10 {
		return nil, fmt.Errorf("the servers read only %d requests", reads.Load())
	}
	mu.Lock()
	defer mu.Unlock()
	return breaks, nil
}

func wordAt(body []byte, at int) uint64 {
	at -= at % 8
	if at+8 > len(body) {
		return 0
	}
	return binary.BigEndian.Uint64(body[at:])
}

// upload sends a request in chunks, at the pace of a client's link, and reads
// the answer meanwhile.
func (m *machine) upload(attempt string, body []byte) {
	c, err := net.Dial("tcp", m.addr(portOutbound))
	if err != nil {
		m.fleet.rec.log("client: %s: %v", attempt, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	m.fleet.rec.log("client: %s is sent to %s", attempt, m.name)
	go func() {
		_, _ = fmt.Fprintf(c, "POST /pufi791/x HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: 4000\r\nTransfer-Encoding: chunked\r\n\r\n", headerAttempt, attempt, headerDeadline)
		w := httputil.NewChunkedWriter(c)
		for piece := bytes.NewBuffer(body); piece.Len() > 0; {
			if _, err := w.Write(piece.Next(pieceBytes)); err != nil {
				return
			}
			time.Sleep(pieceInterval)
		}
		_ = w.Close()
		_, _ = io.WriteString(c, "\r\n")
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		m.fleet.rec.log("client: %s: no answer: %v", attempt, err)
		return
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	m.fleet.rec.log("client: %s got %d %q (%v)", attempt, resp.StatusCode, bytes.TrimSpace(answer)[:min(20, len(answer))], err)
}
