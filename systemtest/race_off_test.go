//go:build !race

package systemtest

const raceEnabled = false
