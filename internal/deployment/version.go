package deployment

import (
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/version"
)

func (p *Config) versionLimits() version.Limits {
	if p.VersionLimits.KeepWarm > 0 {
		return p.VersionLimits
	}
	return version.DefaultLimits()
}

// ChangeModelVersion publishes a catalogue that moves the model's traffic to v2.
//
// Targets from index from on have the new version. If there are none, engines are ordered to load it.
func (d *Deployment) ChangeModelVersion(deadline time.Time, largest float64, from int) error {
	return d.ChangeEntryVersion(ModelName, deadline, largest, from)
}

// ChangeEntryVersion publishes a catalogue that moves the traffic of an entry to v2.
func (d *Deployment) ChangeEntryVersion(name string, deadline time.Time, largest float64, from int) error {
	e := d.Catalogue.Entry(name)
	if e.VersionNamed("v2") == nil {
		e.Versions = append(e.Versions, catalogue.Version{Name: "v2"})
	}
	for i := range e.Targets {
		if i >= from {
			e.Targets[i].Version = "v2"
		}
	}
	e.Change = &catalogue.VersionChange{To: "v2", Deadline: deadline, LargestShare: largest}
	d.Catalogue.Revision++
	return d.PutCatalogue(d.Catalogue)
}
