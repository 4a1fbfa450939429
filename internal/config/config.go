// Package config determines the active manifest from publications in the log and from snapshots.
//
// The rule is deterministic: a publication names the version that it replaces, and the first publication in
// the log that names the current version is accepted. Its offset becomes the new version. The version only
// ever increases, whether it comes from the log, a snapshot in the log, or a peer.
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

// Version identifies an accepted manifest by the offset of its publication in the log; 0 means none.
type Version = platform.Offset

// ActiveManifest is the active manifest with its version and the origin of each of its jobs: the time and
// version of the publication since which the job has been declared without interruption, and the job's home
// failure domain. It is immutable.
type ActiveManifest struct {
	Version       Version
	Manifest      *manifest.Manifest
	Published     time.Time
	PublicationID string
	// Origins maps the name of each job in the manifest to its origin.
	Origins map[string]task.Origin
	// document is the compressed JSON of the whole manifest. If the publication contained only changes, it is nil
	// until compressedDocument creates it.
	document     []byte
	documentOnce sync.Once
}

// Rejection is the reason why a publication or a snapshot was not accepted. It is a metric label.
type Rejection string

// The reasons for rejection. Accepted means that there is none.
const (
	Accepted         Rejection = ""
	VersionConflict  Rejection = "replaces_another_version"
	Malformed        Rejection = "malformed"
	SnapshotNotNewer Rejection = "snapshot_not_newer"
	// Superseded means that a newer version was already known from a snapshot or a peer when the publication
	// was read from the log. Whether the publication had been accepted is then unknown.
	Superseded Rejection = "superseded"
)

// State tracks the active manifest. Its methods are not safe for concurrent use.
type State struct {
	active *ActiveManifest
}

// Active returns the active manifest, or nil.
func (s *State) Active() *ActiveManifest { return s.active }

// Version returns the version of the active manifest, or 0.
func (s *State) Version() Version {
	if s.active == nil {
		return 0
	}
	return s.active.Version
}

// ApplyPublication applies a publication that was read from the log at offset. A publication at or below the
// current version changes nothing: the version may already be known from a peer or a snapshot.
func (s *State) ApplyPublication(offset platform.Offset, p *record.Publication) Rejection {
	switch {
	case offset == s.Version():
		return s.resultAtCurrentVersion(p)
	case offset < s.Version():
		return Superseded
	case Version(p.GetReplaces()) != s.Version():
		return VersionConflict
	}
	m, err := s.decodeManifest(p)
	if err != nil {
		return Malformed
	}
	published := time.UnixMilli(p.GetPublishedUnixMs())
	s.active = &ActiveManifest{
		Version:       offset,
		Manifest:      m,
		Published:     published,
		PublicationID: p.GetPublicationId(),
		Origins:       s.jobOrigins(m, published, offset),
		document:      p.GetDocument(),
	}
	return Accepted
}

// resultAtCurrentVersion returns the result for a publication at the offset of the current version. Several
// publications can share a batch and so an offset; only one of them was accepted.
func (s *State) resultAtCurrentVersion(p *record.Publication) Rejection {
	if s.active != nil && p.GetPublicationId() == s.active.PublicationID {
		return Accepted
	}
	return VersionConflict
}

// decodeManifest returns the manifest of a publication. Published changes are applied to the active manifest.
func (s *State) decodeManifest(p *record.Publication) (*manifest.Manifest, error) {
	if len(p.GetChanges()) == 0 {
		return parseCompressed(p.GetDocument())
	}
	if s.active == nil {
		return nil, trace.BadParameter("there is no active manifest to apply the changes to")
	}
	c, err := decodeChanges(p.GetChanges())
	if err != nil {
		return nil, err
	}
	return c.apply(s.active.Manifest)
}

// jobOrigins returns the origins of the jobs in m. A job that the active manifest also declares keeps its
// origin, so that its home failure domain does not change while the job is declared. A job that was removed and
// is declared again gets a new origin.
func (s *State) jobOrigins(m *manifest.Manifest, published time.Time, version Version) map[string]task.Origin {
	origins := make(map[string]task.Origin, len(m.Jobs))
	domains := m.HomeDomains()
	for i := range m.Jobs {
		j := &m.Jobs[i]
		if s.active != nil {
			if known, ok := s.active.Origins[j.Name]; ok {
				origins[j.Name] = known
				continue
			}
		}
		home := j.HomeDomain
		if home == "" {
			home = failuredomain.HomeDomain(j.Name, domains)
		}
		origins[j.Name] = task.Origin{Published: published, Home: home, Version: uint64(version)}
	}
	return origins
}

// ApplySnapshot applies a snapshot from the log or from a peer if its version is newer.
func (s *State) ApplySnapshot(snapshot *record.ManifestSnapshot) Rejection {
	if Version(snapshot.GetVersion()) <= s.Version() {
		return SnapshotNotNewer
	}
	m, err := parseCompressed(snapshot.GetDocument())
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
	s.active = &ActiveManifest{
		Version:       Version(snapshot.GetVersion()),
		Manifest:      m,
		Published:     time.UnixMilli(snapshot.GetPublishedUnixMs()),
		PublicationID: snapshot.GetPublicationId(),
		Origins:       origins,
		document:      snapshot.GetDocument(),
	}
	return Accepted
}

// Snapshot returns a snapshot of the active manifest for ApplySnapshot. readTo is the offset up to which the
// manifest stream has been read without a newer accepted version.
func (f *ActiveManifest) Snapshot(readTo platform.Offset) *record.ManifestSnapshot {
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
		Document:        f.compressedDocument(),
		ReadTo:          uint64(readTo),
		PublishedUnixMs: f.Published.UnixMilli(),
		JobOrigins:      origins,
		PublicationId:   f.PublicationID,
	}
}

// compressedDocument returns the compressed JSON of the whole manifest, and creates it if necessary. It returns
// nil if the manifest cannot be encoded.
func (f *ActiveManifest) compressedDocument() []byte {
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

// EncodeSnapshot returns the encoded result of Snapshot.
func (f *ActiveManifest) EncodeSnapshot(readTo platform.Offset) ([]byte, error) {
	data, err := proto.Marshal(f.Snapshot(readTo))
	return data, trace.Wrap(err)
}

// DecodeSnapshot decodes a snapshot that EncodeSnapshot has encoded.
func DecodeSnapshot(data []byte) (*record.ManifestSnapshot, error) {
	snapshot := &record.ManifestSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return nil, trace.BadParameter("failed to decode manifest snapshot: %v", err)
	}
	return snapshot, nil
}

// NewPublication returns a publication of a validated manifest that replaces a version. active is the active
// manifest of this node, or nil. If it has the version that is replaced, only the changes to it are
// published, unless the whole document is smaller.
func NewPublication(m *manifest.Manifest, active *ActiveManifest, replaces Version, id string, now time.Time) (*record.Publication, error) {
	p := &record.Publication{Replaces: uint64(replaces), PublishedUnixMs: now.UnixMilli(), PublicationId: id}
	plain, err := m.Encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.Document = record.Compress(plain)
	if active == nil || active.Version != replaces {
		return p, nil
	}
	encodedChanges, err := diff(active.Manifest, m).encode()
	if err != nil {
		return nil, err
	}
	if len(encodedChanges) < len(p.Document) {
		p.Changes, p.Document = encodedChanges, nil
	}
	return p, nil
}

func parseCompressed(document []byte) (*manifest.Manifest, error) {
	plain, err := record.Decompress(document)
	if err != nil {
		return nil, err
	}
	return manifest.Parse(plain)
}
