//go:build race

package operation

// seedShare divides the number of schedules: the race detector makes each one
// several times slower, and the schedules run the same without it.
const seedShare = 8
