// Command stand plays the cases of the review: it starts the project's own programs with the
// settings of the deploy file on loopback addresses, and stands in for the platform, the backend
// servers, the callers and the operator.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTime bounds a case, below the 120 s that one may take.
const caseTime = 100 * time.Second

var errUsage = errors.New("usage: stand CASE FOLDER")

func main() {
	broken, err := play()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// play plays the case named by the arguments and reports whether its rule was broken.
func play() (broken bool, err error) {
	if len(os.Args) != 3 {
		return false, errUsage
	}
	playCase := cases[os.Args[1]]
	if playCase == nil {
		return false, errUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTime)
	defer cancel()
	r, err := newRecord(os.Args[2])
	if err != nil {
		return false, err
	}
	d, err := newDeployment(r)
	if err != nil {
		return false, errors.Join(err, r.close())
	}
	broken, err = playCase(ctx, d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("the case could not run: %v", err)
	}
	return broken, errors.Join(err, d.close(), r.close())
}

// cases are the plays by name.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (broken bool, err error){
	"late-order": playLateOrder,
	"replaced":   playReplaced,
	"join":       playJoin,
}
