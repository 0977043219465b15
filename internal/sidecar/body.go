package sidecar

import (
	"errors"
	"io"
	"sync"
)

// errClosedEarly is the end of a body that its reader closed before the end.
var errClosedEarly = errors.New("closed before the end of the answer")

// endBody calls end once: with nil at the end of the body, otherwise with the
// error that ended it.
type endBody struct {
	io.ReadCloser
	once sync.Once
	end  func(error)
}

func (b *endBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.finish(nil)
	} else if err != nil {
		b.finish(err)
	}
	return n, err
}

func (b *endBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(errClosedEarly)
	return err
}

func (b *endBody) finish(err error) {
	b.once.Do(func() { b.end(err) })
}

// workBody records when a body waits for its target.
type workBody struct {
	io.ReadCloser
	target *target
	work   *work
}

func (b *workBody) Read(p []byte) (int, error) {
	b.target.evidence.wait(b.work, b.target.clock())
	n, err := b.ReadCloser.Read(p)
	b.target.evidence.progress(b.work, b.target.clock())
	return n, err
}
