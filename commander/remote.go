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
	// defaultWaitTimeout is three times the 3 s within which a change reaches every reachable host.
	defaultWaitTimeout = 9 * time.Second
	// pollInterval is the interval at which -wait requests the status.
	pollInterval = 200 * time.Millisecond
)

// hostList is the value of a flag that may be repeated and may have several addresses, separated by commas.
type hostList []string

func (h *hostList) String() string {
	return strings.Join(*h, ",")
}

// Set adds the addresses in text.
func (h *hostList) Set(text string) error {
	for _, host := range parser.List(text) {
		if _, err := netip.ParseAddrPort(host); err != nil {
			return errors.New("wants IP:PORT, such as 127.0.0.1:7104")
		}
		*h = append(*h, host)
	}
	return nil
}

// remoteCommand is a command that sends requests to the operators' API of a host, with the flags of all such commands.
type remoteCommand struct {
	c           *Commander
	flags       *flag.FlagSet
	usage       string
	hosts       hostList
	keyFile     string
	caFile      string
	operator    string
	wait        bool
	waitTimeout time.Duration
	force       bool
}

func (c *Commander) newRemoteCommand(name, usage string) *remoteCommand {
	r := remoteCommand{
		c:     c,
		flags: c.newFlagSet(name),
		usage: usage,
	}
	r.flags.Var(&r.hosts, "host", "operator `address` IP:PORT of a host; repeat it or separate by commas, the next is tried")
	r.flags.StringVar(&r.keyFile, "keyFile", "", "`file` with the operators' key")
	r.flags.StringVar(&r.caFile, "authority", "",
		"`file` with the certificate authority of the hosts; empty means plain HTTP")
	return &r
}

// addChangeFlags adds the flags of commands that change the deployment.
func (r *remoteCommand) addChangeFlags() {
	r.flags.StringVar(&r.operator, "operator", userName(), "`name` that is recorded with the change")
	r.flags.BoolVar(&r.wait, "wait", false, "wait until each reachable host knows the change")
	r.flags.DurationVar(&r.waitTimeout, "waitFor", defaultWaitTimeout, "how long -wait waits")
	r.flags.BoolVar(&r.force, "force", false, "send a change that takes service away")
}

// userName returns the name of the user who runs the process. It falls back to the user database, because processes
// that the platform starts often lack the environment variable USER.
func userName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (r *remoteCommand) command(
	shortHelp, description, exampleLine string,
	exec func(context.Context, *requester.Requester, []string) error,
) *ffcli.Command {
	name := r.flags.Name()
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bramleyline " + r.usage,
		ShortHelp:  shortHelp,
		LongHelp:   longHelp(description, exampleLine),
		FlagSet:    r.flags,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			client, err := r.newRequester()
			if err != nil {
				return err
			}
			return exec(ctx, client, args)
		},
	}
}

func (r *remoteCommand) usageError() error {
	return errors.Wrap(ErrUsage, r.usage)
}

func (r *remoteCommand) newRequester() (*requester.Requester, error) {
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
	if r.caFile == "" {
		return &client, nil
	}
	pem, err := os.ReadFile(r.caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s has no certificate", r.caFile)
	}
	client.TLS = &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
	}
	return &client, nil
}

// reportAnswer writes the answer to a change and, with -wait, waits until inForce is true for each reachable host.
func (r *remoteCommand) reportAnswer(
	ctx context.Context, client *requester.Requester, a *presenter.Answer, inForce func(*presenter.Host) bool,
) error {
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
	return r.waitForHosts(ctx, client, inForce)
}

// waitForHosts polls the status until inForce is true for each reachable host, and writes the names of the unreachable
// ones.
func (r *remoteCommand) waitForHosts(
	ctx context.Context, client *requester.Requester, inForce func(*presenter.Host) bool,
) error {
	ctx, cancel := context.WithTimeout(ctx, r.waitTimeout)
	defer cancel()
	var behind, unreachable []string
	for {
		var s presenter.Status
		err := client.Get(ctx, "/v1/status", &s)
		if err == nil {
			behind, unreachable = pendingHosts(s.Hosts, inForce)
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
				return errors.Errorf("accepted, but no host told its state within %s", r.waitTimeout)
			}
			return errors.Errorf("accepted, but after %s not in force on %s; not reachable: %s", r.waitTimeout,
				strings.Join(behind, ", "), joinOrNone(unreachable))
		case <-time.After(pollInterval):
		}
	}
}

// pendingHosts returns the reachable hosts for which inForce is false, and the unreachable hosts.
func pendingHosts(hosts []presenter.Host, inForce func(*presenter.Host) bool) (behind, unreachable []string) {
	for i := range hosts {
		switch {
		case !hosts[i].Reachable:
			unreachable = append(unreachable, hosts[i].Name)
		case !inForce(&hosts[i]):
			behind = append(behind, fmt.Sprintf("%s (version %d)", hosts[i].Name, hosts[i].Version))
		}
	}
	return behind, unreachable
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// newRequestID returns a random ID for a change, so that it is applied once even if it is sent to several hosts.
func newRequestID() string {
	return rand.Text()
}
