//go:build race

package operation

// seedDivisor divides the number of schedules: the race detector makes each one
// several times slower, and the schedules run the same without it.
const seedDivisor = 8
