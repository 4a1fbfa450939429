// Package record defines the typed records that nodes keep in the platform's log, and their encoding.
//
// record.pb.go is generated from record.proto by protoc with protoc-gen-go.
package record

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// Schema is the newest schema version that this program writes and reads.
const Schema = 1

// MaxBatchBytes bounds the encoded form of one batch.
const MaxBatchBytes = 8 << 20

// ErrNewerSchema means that a batch was written by a newer version of the program.
var ErrNewerSchema = fmt.Errorf("the batch has a newer schema than %d", Schema)

// Encode returns the wire form of b and stamps it with the schema version.
func Encode(b *Batch) ([]byte, error) {
	b.Schema = Schema
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(b)
	return data, trace.Wrap(err)
}

// Decode reads one entry of a stream. It fails with ErrNewerSchema where the batch may mean something
// that this program does not know, so that such a batch is never read by halves.
func Decode(data []byte) (*Batch, error) {
	if len(data) > MaxBatchBytes {
		return nil, trace.LimitExceeded("the batch has %d bytes, at most %d are read", len(data), MaxBatchBytes)
	}
	b := &Batch{}
	if err := proto.Unmarshal(data, b); err != nil {
		return nil, trace.BadParameter("not a batch of records: %v", err)
	}
	if b.GetSchema() > Schema {
		return nil, trace.Wrap(ErrNewerSchema)
	}
	if b.GetSchema() == 0 || b.GetNode() == "" {
		return nil, trace.BadParameter("not a batch of records: schema or node is missing")
	}
	return b, nil
}
