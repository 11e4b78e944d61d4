package commander

const rootHelp = `Routes keyed traffic to servers that own keys exclusively.

Each flag can also be set in the environment: -keyFile as BRAMLEYLINE_KEYFILE.
Exit codes: 0 success, 1 refused or faults found, 2 wrong usage.
"bramleyline COMMAND -h" shows an example of each command.`

// longHelp returns the long help of a command: what it does and an example command line.
func longHelp(description, exampleLine string) string {
	return description + "\n\nEXAMPLE\n  " + exampleLine
}
