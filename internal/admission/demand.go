package admission

import (
	"math"
	"time"
)

// demand estimates how many slots short work needs, from the expected run times
// of the short items that arrive.
type demand struct {
	current, peak float64 // slots
	updated       time.Time
}

func (d *demand) decay(now time.Time) {
	if !d.updated.IsZero() {
		elapsed := float64(now.Sub(d.updated))
		d.current *= math.Exp(-elapsed / float64(demandWindow))
		d.peak *= math.Exp(-elapsed / float64(demandMemory))
	}
	d.updated = now
}

func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.current += float64(work) / float64(demandWindow)
	d.peak = max(d.peak, d.current)
}

func (d *demand) peakSlots(now time.Time) float64 {
	d.decay(now)
	return d.peak
}
