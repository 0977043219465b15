package main

import (
	"errors"

	"github.com/sirupsen/logrus"
)

// errFatal is the panic value with which Fatalf ends the demo.
var errFatal = errors.New("fatal")

// demoTB implements processtest.TB outside a test, so that the demo can start a
// fleet with package processtest.
type demoTB struct {
	log      *logrus.Logger
	cleanups []func()
}

// Helper does nothing, because log lines name no source position.
func (*demoTB) Helper() {}

// Logf logs a line at level info.
func (t *demoTB) Logf(format string, args ...any) { t.log.Infof(format, args...) }

// Fatalf logs an error and ends the demo by a panic, which run recovers after
// the cleanups.
func (t *demoTB) Fatalf(format string, args ...any) {
	t.log.Errorf(format, args...)
	panic(errFatal)
}

// Cleanup registers f to be called by close. The function that was registered
// last is called first.
func (t *demoTB) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }

// close calls the registered cleanups.
func (t *demoTB) close() {
	for i := len(t.cleanups) - 1; i >= 0; i-- {
		t.cleanups[i]()
	}
}
