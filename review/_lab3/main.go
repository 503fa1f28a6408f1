package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		os.Exit(2)
	}
	play, found := map[string]func(l *lab) (isBroken bool, err error){
		"burst-after-freeze": playBurstAfterFreeze,
		"late-follower":      playLateFollower,
		"late-drain":         playLateDrain,
	}[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	isBroken, err := play(l)
	l.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case isBroken:
		os.Exit(1)
	}
}

// hasTrouble reports whether the disruption takes place.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
