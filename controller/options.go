package controller

import (
	"io"
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/messenger"
)

// defaultSnapshotEvery is the number of applied entries after which a snapshot is taken and the log is compacted.
const defaultSnapshotEvery = 4096

type settings struct {
	name          string
	addr          netip.AddrPort
	voters        map[string]netip.AddrPort
	fileSystem    journaler.FileSystem
	timing        configurer.Timing
	messenger     *messenger.Messenger
	seed          uint64
	logger        *log.Logger
	snapshotEvery uint64
	uniqueName    bool
}

// Option is a setting of a Controller.
type Option func(*settings)

// WithName sets the name of the host. It is required.
func WithName(name string) Option {
	return func(s *settings) { s.name = name }
}

// WithAddr sets the RPC address of this host, which is sent to the other members with its messages. A new member has at
// first no other way to learn the address of a leader that is not one of the initial voters.
func WithAddr(addr netip.AddrPort) Option {
	return func(s *settings) { s.addr = addr }
}

// WithVoters sets the initial voters and their RPC addresses. All initial voters must be given the same list. The
// addresses take precedence over those in the log, so that the address of a host can be changed.
func WithVoters(voters map[string]netip.AddrPort) Option {
	return func(s *settings) { s.voters = voters }
}

// WithDataFolder sets the folder of the write-ahead log. Either it or WithFileSystem is required.
func WithDataFolder(folder string) Option {
	return func(s *settings) {
		s.fileSystem = journaler.Disk{
			Folder: folder,
		}
	}
}

// WithFileSystem sets the file system of the write-ahead log.
func WithFileSystem(fs journaler.FileSystem) Option {
	return func(s *settings) { s.fileSystem = fs }
}

// WithTiming sets the election timeout; the default is that of configurer.DefaultTiming.
func WithTiming(t configurer.Timing) Option {
	return func(s *settings) { s.timing = t }
}

// WithMessenger sets the transport for messages to other hosts. It is required.
func WithMessenger(m *messenger.Messenger) Option {
	return func(s *settings) { s.messenger = m }
}

// WithSeed sets the seed for the random part of election timeouts.
func WithSeed(seed uint64) Option {
	return func(s *settings) { s.seed = seed }
}

// WithLogger sets the logger for changes of leadership and membership and for failures; without it or with nil, nothing
// is logged.
func WithLogger(l *log.Logger) Option {
	return func(s *settings) {
		if l != nil {
			s.logger = l
		}
	}
}

// WithSnapshotEvery sets the number of applied entries after which a snapshot is taken and the log is compacted; the
// default is 4,096.
func WithSnapshotEvery(entries uint64) Option {
	return func(s *settings) { s.snapshotEvery = entries }
}

// WithUniqueName states that the name was never used with another data folder. A start with an empty folder then needs
// no recovery, because the member cannot have acknowledged anything before.
func WithUniqueName() Option {
	return func(s *settings) { s.uniqueName = true }
}

func defaultSettings() settings {
	return settings{
		timing:        configurer.DefaultTiming(),
		logger:        log.New(io.Discard),
		snapshotEvery: defaultSnapshotEvery,
	}
}

func (s *settings) check() error {
	switch {
	case s.name == "":
		return errors.New("control host has no name")
	case s.fileSystem == nil:
		return errors.New("control host has no data folder")
	case s.messenger == nil:
		return errors.New("control host has no messenger")
	case s.timing.ElectionTimeout <= 0:
		return errors.New("election timeout is not positive")
	}
	return nil
}

// lockFolder locks a data folder on disk against use by a second process.
func (s *settings) lockFolder() (io.Closer, error) {
	if d, ok := s.fileSystem.(journaler.Disk); ok {
		return d.Lock()
	}
	return io.NopCloser(nil), nil
}

func (s *settings) initialMembers() []journaler.Member {
	members := make([]journaler.Member, 0, len(s.voters))
	for name, addr := range s.voters {
		members = append(members, journaler.Member{
			Name: name,
			Addr: addr,
		})
	}
	return members
}
