// Package config decides which manifest is in force.
//
// The rule is deterministic: a publication names the version that it replaces, and the first one in the
// log that names the current version is accepted. Its offset becomes the new version. Versions only grow,
// whatever the source: the log, a snapshot in the log, or a peer.
package config

import (
	"time"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"
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
	// document is the compressed document as it stands in the log.
	document []byte
}

// Rejection says why a publication was not accepted. It is a metric label.
type Rejection string

// The reasons for which a publication is rejected.
const (
	Accepted  Rejection = ""
	Raced     Rejection = "replaces_another_version"
	Malformed Rejection = "malformed"
	// Overtaken: a newer manifest was learnt from a peer or a snapshot before the publication was read, so
	// that its fate is not known here.
	Overtaken Rejection = "overtaken"
	OlderSnap Rejection = "snapshot_not_newer"
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

// Publish applies a publication at an offset of the log.
func (s *State) Publish(offset platform.Offset, p *record.Publication) Rejection {
	if offset <= s.Version() {
		return s.fateOfPast(offset, p)
	}
	if Version(p.GetReplaces()) != s.Version() {
		return Raced
	}
	m, err := decompress(p.GetDocument())
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

// fateOfPast returns what became of a publication that is not newer than the version in force.
func (s *State) fateOfPast(offset platform.Offset, p *record.Publication) Rejection {
	switch {
	case offset < s.Version():
		return Overtaken
	case p.GetPublicationId() == s.inForce.PublicationID:
		return Accepted
	default:
		return Raced
	}
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
	m, err := decompress(snapshot.GetDocument())
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

// Snapshot returns f in the form that Restore takes.
func (f *InForce) Snapshot() *record.ManifestSnapshot {
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
		Document:        f.document,
		PublishedUnixMs: f.Published.UnixMilli(),
		JobOrigins:      origins,
		PublicationId:   f.PublicationID,
	}
}

// EncodeSnapshot returns the wire form of f's snapshot.
func (f *InForce) EncodeSnapshot() ([]byte, error) {
	data, err := proto.Marshal(f.Snapshot())
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

// NewPublication compresses a checked manifest into a publication that replaces a version.
func NewPublication(m *manifest.Manifest, replaces Version, id string, now time.Time) (*record.Publication, error) {
	plain, err := m.Encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &record.Publication{
		Replaces:        uint64(replaces),
		Document:        encoder.EncodeAll(plain, nil),
		PublishedUnixMs: now.UnixMilli(),
		PublicationId:   id,
	}, nil
}

func decompress(document []byte) (*manifest.Manifest, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2*manifest.MaxDocumentBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(document, nil)
	if err != nil {
		return nil, trace.BadParameter("the document cannot be decompressed: %v", err)
	}
	return manifest.Parse(plain)
}
