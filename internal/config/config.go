// Package config decides which manifest is in force.
//
// The rule is deterministic: a publication names the version that it replaces, and the first one in the
// log that names the current version is accepted. Its offset becomes the new version. Versions only grow,
// whatever the source: the log, a snapshot in the log, or a peer.
package config

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cactuswall.example/cactuswall/internal/failuredomain"
	"cactuswall.example/cactuswall/internal/manifest"
	"cactuswall.example/cactuswall/internal/platform"
	"cactuswall.example/cactuswall/internal/record"
	"cactuswall.example/cactuswall/internal/task"
)

// Version identifies an accepted manifest. It is the offset of its publication; 0 means none.
type Version = platform.Offset

// InForce is the manifest in force with what goes along with it. It is never changed once made.
type InForce struct {
	Version       Version
	Manifest      *manifest.Manifest
	Published     time.Time
	PublicationID string
	// Origins gives the origin of each job that the manifest names.
	Origins map[string]task.Origin
	// document is the compressed document, or nil as long as nobody has asked for it.
	document     []byte
	documentOnce sync.Once
}

// Rejection says why a publication was not accepted. It is a metric label.
type Rejection string

// The reasons for which a publication is rejected.
const (
	Accepted  Rejection = ""
	Raced     Rejection = "replaces_another_version"
	Malformed Rejection = "malformed"
	OlderSnap Rejection = "snapshot_not_newer"
	// Superseded: a newer version was already known from a snapshot or a peer when the log showed the
	// publication. Whether it was accepted before is not known here.
	Superseded Rejection = "superseded"
)

// State follows the manifest stream. Its methods are not safe for concurrent use.
type State struct {
	inForce *InForce
}

// InForce returns the manifest in force, or nil.
func (s *State) InForce() *InForce { return s.inForce }

// Version returns the version in force, or 0.
func (s *State) Version() Version {
	if s.inForce == nil {
		return 0
	}
	return s.inForce.Version
}

// Publish applies a publication at an offset of the log. Offsets up to the version in force, which a peer
// or a snapshot may have told before the log, change nothing.
func (s *State) Publish(offset platform.Offset, p *record.Publication) Rejection {
	switch {
	case offset == s.Version():
		return s.fateInBatch(p)
	case offset < s.Version():
		return Superseded
	case Version(p.GetReplaces()) != s.Version():
		return Raced
	}
	m, err := s.read(p)
	if err != nil {
		return Malformed
	}
	published := time.UnixMilli(p.GetPublishedUnixMs())
	s.inForce = &InForce{
		Version:       offset,
		Manifest:      m,
		Published:     published,
		PublicationID: p.GetPublicationId(),
		Origins:       s.origins(m, published, offset),
		document:      p.GetDocument(),
	}
	return Accepted
}

// fateInBatch returns what became of a publication in the batch that brought the version in force.
func (s *State) fateInBatch(p *record.Publication) Rejection {
	if s.inForce != nil && p.GetPublicationId() == s.inForce.PublicationID {
		return Accepted
	}
	return Raced
}

// read returns the manifest that a publication offers on top of the one in force.
func (s *State) read(p *record.Publication) (*manifest.Manifest, error) {
	if len(p.GetChanges()) == 0 {
		return parse(p.GetDocument())
	}
	if s.inForce == nil {
		return nil, trace.BadParameter("there is no manifest that the changes apply to")
	}
	c, err := decodeChanges(p.GetChanges())
	if err != nil {
		return nil, err
	}
	return c.apply(s.inForce.Manifest)
}

// origins keeps the origin of each job that is already known, so that a job never changes its home.
func (s *State) origins(m *manifest.Manifest, published time.Time, version Version) map[string]task.Origin {
	origins := make(map[string]task.Origin, len(m.Jobs))
	domains := m.DomainNames()
	for i := range m.Jobs {
		j := &m.Jobs[i]
		if s.inForce != nil {
			if known, ok := s.inForce.Origins[j.Name]; ok {
				origins[j.Name] = known
				continue
			}
		}
		home := j.HomeDomain
		if home == "" {
			home = failuredomain.Home(j.Name, domains)
		}
		origins[j.Name] = task.Origin{Published: published, Home: home, Version: uint64(version)}
	}
	return origins
}

// Restore applies a snapshot from the log or from a peer. Only a newer version is taken.
func (s *State) Restore(snapshot *record.ManifestSnapshot) Rejection {
	if Version(snapshot.GetVersion()) <= s.Version() {
		return OlderSnap
	}
	m, err := parse(snapshot.GetDocument())
	if err != nil {
		return Malformed
	}
	origins := make(map[string]task.Origin, len(snapshot.GetJobOrigins()))
	for name, o := range snapshot.GetJobOrigins() {
		origins[name] = task.Origin{
			Published: time.UnixMilli(o.GetPublishedUnixMs()),
			Home:      o.GetHomeDomain(),
			Version:   o.GetVersion(),
		}
	}
	s.inForce = &InForce{
		Version:       Version(snapshot.GetVersion()),
		Manifest:      m,
		Published:     time.UnixMilli(snapshot.GetPublishedUnixMs()),
		PublicationID: snapshot.GetPublicationId(),
		Origins:       origins,
		document:      snapshot.GetDocument(),
	}
	return Accepted
}

// Snapshot returns f in the form that Restore takes. readTo is the offset up to which the manifest stream
// holds no newer accepted version.
func (f *InForce) Snapshot(readTo platform.Offset) *record.ManifestSnapshot {
	origins := make(map[string]*record.JobOrigin, len(f.Origins))
	for name, o := range f.Origins {
		origins[name] = &record.JobOrigin{
			PublishedUnixMs: o.Published.UnixMilli(),
			HomeDomain:      o.Home,
			Version:         o.Version,
		}
	}
	return &record.ManifestSnapshot{
		Version:         uint64(f.Version),
		Document:        f.compressed(),
		ReadTo:          uint64(readTo),
		PublishedUnixMs: f.Published.UnixMilli(),
		JobOrigins:      origins,
		PublicationId:   f.PublicationID,
	}
}

// compressed returns the whole document, compressed.
func (f *InForce) compressed() []byte {
	f.documentOnce.Do(func() {
		if f.document != nil {
			return
		}
		plain, err := f.Manifest.Encode()
		if err != nil {
			return
		}
		f.document = record.Compress(plain)
	})
	return f.document
}

// EncodeSnapshot returns the wire form of f's snapshot.
func (f *InForce) EncodeSnapshot(readTo platform.Offset) ([]byte, error) {
	data, err := proto.Marshal(f.Snapshot(readTo))
	return data, trace.Wrap(err)
}

// DecodeSnapshot reads the wire form of a snapshot.
func DecodeSnapshot(data []byte) (*record.ManifestSnapshot, error) {
	snapshot := &record.ManifestSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, trace.BadParameter("not a manifest snapshot: %v", err)
	}
	return snapshot, nil
}

// NewPublication makes a publication of a checked manifest that replaces a version. inForce is the manifest
// in force here, or nil. Where it is the one that is replaced, only the changes are published.
func NewPublication(m *manifest.Manifest, inForce *InForce, replaces Version, id string, now time.Time) (*record.Publication, error) {
	p := &record.Publication{Replaces: uint64(replaces), PublishedUnixMs: now.UnixMilli(), PublicationId: id}
	plain, err := m.Encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.Document = record.Compress(plain)
	if inForce == nil || inForce.Version != replaces {
		return p, nil
	}
	short, err := diff(inForce.Manifest, m).encode()
	if err != nil {
		return nil, err
	}
	if len(short) < len(p.Document) {
		p.Changes, p.Document = short, nil
	}
	return p, nil
}

func parse(document []byte) (*manifest.Manifest, error) {
	plain, err := record.Decompress(document)
	if err != nil {
		return nil, err
	}
	return manifest.Parse(plain)
}
