package main

import (
	"errors"

	"github.com/sirupsen/logrus"
)

// errFatal unwinds the stack after Fatalf.
var errFatal = errors.New("fatal")

// host stands in for a test. It implements processtest.TB.
type host struct {
	log      *logrus.Logger
	cleanups []func()
}

// Helper does nothing.
func (*host) Helper() {}

// Logf writes a progress line.
func (h *host) Logf(format string, args ...any) { h.log.Infof(format, args...) }

// Fatalf ends the demo after its cleanups.
func (h *host) Fatalf(format string, args ...any) {
	h.log.Errorf(format, args...)
	panic(errFatal)
}

// Cleanup registers f to be called by close.
func (h *host) Cleanup(f func()) { h.cleanups = append(h.cleanups, f) }

func (h *host) close() {
	for i := len(h.cleanups) - 1; i >= 0; i-- {
		h.cleanups[i]()
	}
}
