package checker

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/parser"
)

// baseFile is the file name in findings about the base file of a stored configuration.
const baseFile = "base.ini"

// ErrNoDataCentre reports a data centre that the configuration does not have.
var ErrNoDataCentre = errors.New("configuration does not have the data centre")

// CheckTexts checks a configuration in the form that the log stores: the text of the base file, and the texts of the
// overlays by the name of their data centre.
func (c Checker) CheckTexts(base string, overlays map[string]string) Report {
	sources := make([]parser.Source, 0, len(overlays))
	for _, name := range slices.Sorted(maps.Keys(overlays)) {
		sources = append(sources, parser.Source{
			Name: "overlays/" + name + ".ini",
			Text: overlays[name],
		})
	}
	return c.Check(parser.Source{
		Name: baseFile,
		Text: base,
	}, sources)
}

// Stored returns the configuration of a data centre from a stored configuration, or ErrNoDataCentre. The stored texts
// were checked when they were accepted, so any other error means that this program is older than the one that accepted
// them.
func Stored(stored *applier.StoredConfig, dataCentre string) (*configurer.Config, error) {
	report := Checker{}.CheckTexts(stored.Base, stored.Overlays)
	if !report.OK() {
		return nil, errors.Errorf("configuration version %d has %d findings, the first is %s", stored.Version,
			len(report.Findings), report.Findings[0])
	}
	cfg, ok := report.Configs[dataCentre]
	if !ok {
		return nil, errors.Wrapf(ErrNoDataCentre, "%s, version %d", dataCentre, stored.Version)
	}
	cfg.Version = stored.Version
	cfg.Digest = stored.Digest
	return cfg, nil
}
