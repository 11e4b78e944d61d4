// Command bramleyline routes keyed traffic to servers that own keys exclusively.
package main

import (
	"os"

	"bramleyline.example/bramleyline/commander"
)

func main() {
	c := commander.Commander{
		Args:   os.Args[1:],
		Stdout: os.Stdout,
		Stderr: os.Stderr,
	}
	os.Exit(c.Run())
}
