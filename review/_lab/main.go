package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	recordFile  = "record.txt"
	troubleName = "TROUBLE"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	cases := map[string]func(*recorder, bool) (bool, error){"drain": runDrain, "takeup": runTakeUp, "upgrade": runUpgrade}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return exitNotRun
	}
	record, err := newRecorder(filepath.Join(args[1], recordFile))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[args[0]](record, os.Getenv(troubleName) != "0")
	switch {
	case broken:
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
