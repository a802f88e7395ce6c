package deployment

import (
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/version"
)

// versionLimits returns the configured limits of version changes, or the defaults.
func (cfg *Config) versionLimits() version.Limits {
	if cfg.VersionLimits.KeepWarm > 0 {
		return cfg.VersionLimits
	}
	return version.DefaultLimits()
}

// ChangeModelVersion publishes a catalogue that moves the model's traffic to v2.
//
// Targets from index firstTarget on have the new version. If there are none, engines are ordered to load it.
func (d *Deployment) ChangeModelVersion(deadline time.Time, largestShare float64, firstTarget int) error {
	return d.ChangeEntryVersion(ModelName, deadline, largestShare, firstTarget)
}

// ChangeEntryVersion publishes a catalogue that moves the traffic of an entry to v2.
func (d *Deployment) ChangeEntryVersion(name string, deadline time.Time, largestShare float64, firstTarget int) error {
	entry := d.Catalogue.Entry(name)
	if entry.VersionNamed("v2") == nil {
		entry.Versions = append(entry.Versions, catalogue.Version{Name: "v2"})
	}
	for i := range entry.Targets {
		if i >= firstTarget {
			entry.Targets[i].Version = "v2"
		}
	}
	entry.Change = &catalogue.VersionChange{To: "v2", Deadline: deadline, LargestShare: largestShare}
	d.Catalogue.Revision++
	return d.PutCatalogue(d.Catalogue)
}
