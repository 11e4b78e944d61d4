// Command standin plays the cases of the review that are scripts: it starts processes of bramleyline with the command of the
// deploy file, and is itself the platform around them: clients, upstreams and the operator. It writes a record and exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRun bounds a case, below the 120 s of a script.
	maxRun = 110 * time.Second
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	cases := map[string]func(context.Context, *fleet, bool) (verdict, error){
		"takeback": playTakeback,
		"bodies":   playBodies,
		"fence":    playFence,
		"roll":     playRoll,
		"members":  playMembers,
	}
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin takeback|bodies|fence|roll|members PROGRAM RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble %t", args[0], trouble)
	f, err := newFleet(args[1], rec)
	if err != nil {
		rec.printf("could not run: %v", err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	v, err := cases[args[0]](ctx, f, trouble)
	f.close()
	switch {
	case err != nil:
		rec.printf("could not run: %v", err)
		return exitNotRun
	case v.broken:
		rec.printf("BROKEN: %s", v.text)
		return exitBroken
	}
	rec.printf("held: %s", v.text)
	return exitHeld
}
