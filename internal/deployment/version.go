package deployment

import (
	"time"

	"bambooferry.example/bambooferry/pkg/catalogue"
	"bambooferry.example/bambooferry/pkg/version"
)

func (p *Plan) versionLimits() version.Limits {
	if p.Versions.KeepWarm > 0 {
		return p.Versions
	}
	return version.DefaultLimits()
}

// Change puts a catalogue in force in which the model's traffic is to move to v2.
//
// Targets from the given one on are of the new version; with none, engines are ordered to load it.
func (d *Deployment) Change(deadline time.Time, largest float64, from int) error {
	return d.ChangeEntry(ModelName, deadline, largest, from)
}

// ChangeEntry puts a catalogue in force in which the traffic of an entry is to move to v2.
func (d *Deployment) ChangeEntry(name string, deadline time.Time, largest float64, from int) error {
	e := d.Document.Entry(name)
	if e.VersionNamed("v2") == nil {
		e.Versions = append(e.Versions, catalogue.Version{Name: "v2"})
	}
	for i := range e.Targets {
		if i >= from {
			e.Targets[i].Version = "v2"
		}
	}
	e.Change = &catalogue.VersionChange{To: "v2", Deadline: deadline, LargestShare: largest}
	d.Document.Revision++
	return d.Put(d.Document)
}
