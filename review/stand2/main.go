package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name.
var cases = map[string]func(r *rig, trouble bool) (int, error){
	"repeated":    repeated,
	"silent":      silent,
	"slow-server": slowServer,
	"slow-caller": slowCaller,
}

func main() { os.Exit(run()) }

// run plays one case: stand2 CASE REPOSITORY FOLDER.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE REPOSITORY FOLDER")
		return notRun
	}
	record, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	r, err := newRig(os.Args[2], record)
	if err != nil {
		record.add("could not run: %v", err)
		return notRun
	}
	defer r.end()
	trouble := os.Getenv("TROUBLE") != "0"
	code, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		record.add("could not run: %v", err)
	}
	record.add("exit %d, trouble %v", code, trouble)
	return code
}
