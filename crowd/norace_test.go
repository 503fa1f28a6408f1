//go:build !race

package crowd

const isRace = false
