package checker

import (
	"path/filepath"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
)

func storedExample(c *qt.C) applier.StoredConfig {
	base, overlays := readSources(c, filepath.Join("..", "examples", "zbiorka"))
	stored := applier.StoredConfig{
		Version:  7,
		Digest:   "d",
		Base:     base.Text,
		Overlays: make(map[string]string),
	}
	for _, o := range overlays {
		stored.Overlays[OverlayDataCentre(o.Name)] = o.Text
	}
	return stored
}
