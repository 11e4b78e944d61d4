package commander

const rootHelp = `Routes keyed traffic to servers that own keys exclusively.

Each flag can also be set in the environment: -keyFile as BRAMLEYLINE_KEYFILE.
Exit codes: 0 success, 1 refused or faults found, 2 wrong usage.
"bramleyline COMMAND -h" shows an example of each command.`

// example is the long help of a command: what it does and one line to try.
func example(text, line string) string {
	return text + "\n\nEXAMPLE\n  " + line
}
