package sidecar

import (
	"errors"
	"io"
	"sync"
)

// errClosedEarly is passed to completionBody.onEnd when the reader closed the
// body before its end.
var errClosedEarly = errors.New("body closed before the end of the answer")

// completionBody calls onEnd once: with nil when the body was read to its end,
// otherwise with the error that ended it.
type completionBody struct {
	io.ReadCloser
	once  sync.Once
	onEnd func(error)
}

func (b *completionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish(nil)
	} else if err != nil {
		b.finish(err)
	}
	return n, err
}

func (b *completionBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(errClosedEarly)
	return err
}

func (b *completionBody) finish(err error) {
	b.once.Do(func() { b.onEnd(err) })
}

// timedBody records the time that reads of a body spend waiting for the target.
type timedBody struct {
	io.ReadCloser
	target  *target
	request *activeRequest
}

func (b *timedBody) Read(p []byte) (int, error) {
	b.target.evidence.startWaiting(b.request, b.target.clock())
	n, err := b.ReadCloser.Read(p)
	b.target.evidence.recordProgress(b.request, b.target.clock())
	return n, err
}
