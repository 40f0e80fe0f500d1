//go:build race

package systemtest

const raceEnabled = true
