//go:build !race

package operation

const seedShare = 1
