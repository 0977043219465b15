//go:build !race

package operation

const seedDivisor = 1
