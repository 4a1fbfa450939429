package config

import (
	"encoding/json"
	"reflect"

	"github.com/gravitational/trace"

	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/strictjson"
)

// changes is the difference between two manifests. Publishing the changes instead of the whole document keeps
// a publication small when few entries change. An entry in a list replaces the entry of the same name in the
// base manifest, or is added if there is none. The Removed lists hold the names of entries to remove.
type changes struct {
	Release string `json:"release" validate:"required,max=200"`
	// FailureDomains is the whole list, since its order is significant, or empty if it is unchanged.
	FailureDomains  []manifest.FailureDomain `json:"failure_domains,omitempty" validate:"unique=Name,dive"`
	Teams           []manifest.Team          `json:"teams,omitempty" validate:"unique=Name,dive"`
	Services        []manifest.Service       `json:"services,omitempty" validate:"unique=Name,dive"`
	Jobs            []manifest.Job           `json:"jobs,omitempty" validate:"unique=Name,dive"`
	RemovedTeams    []string                 `json:"removed_teams,omitempty"`
	RemovedServices []string                 `json:"removed_services,omitempty"`
	RemovedJobs     []string                 `json:"removed_jobs,omitempty"`
}

func teamName(t *manifest.Team) string       { return t.Name }
func serviceName(s *manifest.Service) string { return s.Name }
func jobName(j *manifest.Job) string         { return j.Name }

// diff returns the changes from base to m.
func diff(base, m *manifest.Manifest) changes {
	c := changes{Release: m.Release}
	if !reflect.DeepEqual(base.FailureDomains, m.FailureDomains) {
		c.FailureDomains = m.FailureDomains
	}
	c.Teams, c.RemovedTeams = diffList(base.Teams, m.Teams, teamName)
	c.Services, c.RemovedServices = diffList(base.Services, m.Services, serviceName)
	c.Jobs, c.RemovedJobs = diffList(base.Jobs, m.Jobs, jobName)
	return c
}

// apply returns base with the changes c applied. The fields of c were validated when c was decoded, and base
// was validated when it became active, so only the checks that involve the whole manifest are run here.
func (c changes) apply(base *manifest.Manifest) (*manifest.Manifest, error) {
	m := &manifest.Manifest{
		Release:        c.Release,
		FailureDomains: base.FailureDomains,
		Teams:          applyList(base.Teams, c.Teams, c.RemovedTeams, teamName),
		Services:       applyList(base.Services, c.Services, c.RemovedServices, serviceName),
		Jobs:           applyList(base.Jobs, c.Jobs, c.RemovedJobs, jobName),
	}
	if len(c.FailureDomains) > 0 {
		m.FailureDomains = c.FailureDomains
	}
	if err := m.CheckReferences(); err != nil {
		return nil, trace.Wrap(err)
	}
	return m, nil
}

func (c changes) encode() ([]byte, error) {
	plain, err := json.Marshal(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return record.Compress(plain), nil
}

func decodeChanges(data []byte) (changes, error) {
	plain, err := record.Decompress(data)
	if err != nil {
		return changes{}, err
	}
	var c changes
	if problems := strictjson.Decode(plain, &c); len(problems) > 0 {
		return changes{}, trace.Wrap(problems)
	}
	return c, nil
}

// diffList returns the entries of next that are new or different, and the names of the entries of base that
// next does not contain.
func diffList[T any](base, next []T, name func(*T) string) (upserts []T, removed []string) {
	known := make(map[string]*T, len(base))
	for i := range base {
		known[name(&base[i])] = &base[i]
	}
	for i := range next {
		old := known[name(&next[i])]
		if old == nil || !reflect.DeepEqual(*old, next[i]) {
			upserts = append(upserts, next[i])
		}
		delete(known, name(&next[i]))
	}
	for i := range base {
		if known[name(&base[i])] != nil {
			removed = append(removed, name(&base[i]))
		}
	}
	return upserts, removed
}

// applyList returns base with the upserts and removals applied. Replaced entries keep their position, and new
// entries are appended in the order of upserts.
func applyList[T any](base, upserts []T, removed []string, name func(*T) string) []T {
	isRemoved := make(map[string]bool, len(removed))
	for _, n := range removed {
		isRemoved[n] = true
	}
	upsertByName := make(map[string]*T, len(upserts))
	for i := range upserts {
		upsertByName[name(&upserts[i])] = &upserts[i]
	}
	var list []T
	for i := range base {
		n := name(&base[i])
		if isRemoved[n] {
			continue
		}
		if entry := upsertByName[n]; entry != nil {
			list = append(list, *entry)
			delete(upsertByName, n)
			continue
		}
		list = append(list, base[i])
	}
	for i := range upserts {
		if upsertByName[name(&upserts[i])] != nil {
			list = append(list, upserts[i])
		}
	}
	return list
}
