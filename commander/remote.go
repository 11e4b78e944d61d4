package commander

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/parser"
	"bramleyline.example/bramleyline/presenter"
	"bramleyline.example/bramleyline/requester"
)

const (
	// waitDefault is three times the bound within which a change reaches every reachable host.
	waitDefault = 9 * time.Second
	// pollInterval is the time between two looks at the status.
	pollInterval = 200 * time.Millisecond
)

// hostList is a flag that may be repeated and may have several values, separated by commas.
type hostList []string

func (h *hostList) String() string {
	return strings.Join(*h, ",")
}

// Set adds addresses.
func (h *hostList) Set(text string) error {
	for _, host := range parser.List(text) {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return errors.New("wants IP:PORT, such as 127.0.0.1:7104")
		}
		*h = append(*h, host)
	}
	return nil
}

// remote has the flags of commands that ask a host.
type remote struct {
	c         *Commander
	flags     *flag.FlagSet
	usage     string
	hosts     hostList
	keyFile   string
	authority string
	operator  string
	wait      bool
	waitFor   time.Duration
	force     bool
}

func (c *Commander) remote(name, usage string) *remote {
	r := remote{
		c:     c,
		flags: c.flags(name),
		usage: usage,
	}
	r.flags.Var(&r.hosts, "host", "operator `address` IP:PORT of a host; repeat it or separate by commas, the next is tried")
	r.flags.StringVar(&r.keyFile, "keyFile", "", "`file` with the operators' key")
	r.flags.StringVar(&r.authority, "authority", "", "`file` with the certificate authority of the hosts; empty means plain HTTP")
	return &r
}

// changes adds the flags of commands that change something.
func (r *remote) changes() {
	r.flags.StringVar(&r.operator, "operator", userName(), "`name` that is recorded with the change")
	r.flags.BoolVar(&r.wait, "wait", false, "wait until each reachable host knows the change")
	r.flags.DurationVar(&r.waitFor, "waitFor", waitDefault, "how long -wait waits")
	r.flags.BoolVar(&r.force, "force", false, "send a change that takes service away")
}

// userName returns the name of the user who runs the process. Processes that the platform starts often lack USER.
func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (r *remote) command(help, long, line string, exec func(context.Context, *requester.Requester, []string) error) *ffcli.Command {
	name := r.flags.Name()
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bramleyline " + r.usage,
		ShortHelp:  help,
		LongHelp:   example(long, line),
		FlagSet:    r.flags,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			client, err := r.requester()
			if err != nil {
				return err
			}
			return exec(ctx, client, args)
		},
	}
}

func (r *remote) usageError() error {
	return errors.Wrap(ErrUsage, r.usage)
}

func (r *remote) requester() (*requester.Requester, error) {
	if len(r.hosts) == 0 || r.keyFile == "" {
		return nil, errors.Wrapf(ErrUsage, "%s needs -host and -keyFile", r.flags.Name())
	}
	key, err := os.ReadFile(r.keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the operators' key")
	}
	client := requester.Requester{
		Hosts: r.hosts,
		Key:   strings.TrimSpace(string(key)),
	}
	if r.authority == "" {
		return &client, nil
	}
	pem, err := os.ReadFile(r.authority)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s has no certificate", r.authority)
	}
	client.TLS = &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
	}
	return &client, nil
}

// report writes the answer to a change and waits for hosts if that is asked for.
func (r *remote) report(ctx context.Context, client *requester.Requester, a *presenter.Answer, done func(*presenter.Host) bool) error {
	for _, f := range a.Findings {
		fmt.Fprintln(r.c.Stdout, f)
	}
	switch a.Outcome {
	case presenter.Applied, presenter.Already:
		fmt.Fprintln(r.c.Stdout, a.Message)
	default:
		return errors.New(a.Message)
	}
	if !r.wait {
		return nil
	}
	return r.waitForHosts(ctx, client, done)
}

// waitForHosts polls the status until done is true for each reachable host, and names the others.
func (r *remote) waitForHosts(ctx context.Context, client *requester.Requester, done func(*presenter.Host) bool) error {
	ctx, cancel := context.WithTimeout(ctx, r.waitFor)
	defer cancel()
	var behind, unreachable []string
	for {
		var s presenter.Status
		err := client.Get(ctx, "/v1/status", &s)
		if err == nil {
			behind, unreachable = missing(s.Hosts, done)
			if len(behind) == 0 && len(s.Hosts) > 0 {
				fmt.Fprintf(r.c.Stdout, "in force on %d of %d hosts\n", len(s.Hosts)-len(unreachable), len(s.Hosts))
				if len(unreachable) > 0 {
					fmt.Fprintf(r.c.Stdout, "not reachable: %s\n", strings.Join(unreachable, ", "))
				}
				return nil
			}
		}
		select {
		case <-ctx.Done():
			if len(behind) == 0 {
				return errors.Errorf("accepted, but no host told its state within %s", r.waitFor)
			}
			return errors.Errorf("accepted, but after %s not in force on %s; not reachable: %s", r.waitFor,
				strings.Join(behind, ", "), orNone(unreachable))
		case <-time.After(pollInterval):
		}
	}
}

func missing(hosts []presenter.Host, done func(*presenter.Host) bool) (behind, unreachable []string) {
	for i := range hosts {
		switch {
		case !hosts[i].Reachable:
			unreachable = append(unreachable, hosts[i].Name)
		case !done(&hosts[i]):
			behind = append(behind, fmt.Sprintf("%s (version %d)", hosts[i].Name, hosts[i].Version))
		}
	}
	return behind, unreachable
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// newRequest returns an identity for a change, so that asking the next host cannot apply it twice.
func newRequest() string {
	return rand.Text()
}
