package commander

import (
	"flag"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// moveFlagsFirst moves the flags of a command before its other arguments, because package flag stops parsing at the
// first argument that is not a flag, and operators write "takeout dc krakow -wait".
func moveFlagsFirst(root *ffcli.Command, args []string) []string {
	if len(args) == 0 {
		return args
	}
	i := slices.IndexFunc(root.Subcommands, func(sub *ffcli.Command) bool { return sub.Name == args[0] })
	if i < 0 || root.Subcommands[i].FlagSet == nil {
		return args
	}
	fs := root.Subcommands[i].FlagSet
	flags := []string{args[0]}
	var rest []string
	for args = args[1:]; len(args) > 0; args = args[1:] {
		arg := args[0]
		if arg == "--" {
			rest = append(rest, args[1:]...)
			break
		}
		if len(arg) < 2 || arg[0] != '-' {
			rest = append(rest, arg)
			continue
		}
		flags = append(flags, arg)
		name, _, hasValue := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		if !hasValue && takesValue(fs, name) && len(args) > 1 {
			args = args[1:]
			flags = append(flags, args[0])
		}
	}
	return slices.Concat(flags, []string{"--"}, rest)
}

// takesValue reports whether the flag is followed by a value, as all flags but Boolean ones are.
func takesValue(fs *flag.FlagSet, name string) bool {
	f := fs.Lookup(name)
	if f == nil {
		return false
	}
	b, ok := f.Value.(interface{ IsBoolFlag() bool })
	return !ok || !b.IsBoolFlag()
}
