// Package record defines the records that nodes write to the platform's log, and encodes and decodes batches
// of them as protocol buffers.
//
// record.pb.go is generated from record.proto by protoc with protoc-gen-go.
package record

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// SchemaVersion is the schema version that this program writes, and the newest one that it can read.
const SchemaVersion = 1

// MaxBatchBytes is the maximum size of an encoded batch that Decode accepts.
const MaxBatchBytes = 8 << 20

// ErrNewerSchema is returned for a batch that was written by a newer version of the program.
var ErrNewerSchema = fmt.Errorf("batch has a schema version newer than %d", SchemaVersion)

// Encode sets the schema version of b and returns its encoding.
func Encode(b *Batch) ([]byte, error) {
	b.Schema = SchemaVersion
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(b)
	return data, trace.Wrap(err)
}

// Decode decodes one entry of a stream. It fails with ErrNewerSchema if the schema version is newer than
// SchemaVersion, since fields that this program does not know could change the meaning of the batch.
func Decode(data []byte) (*Batch, error) {
	if len(data) > MaxBatchBytes {
		return nil, trace.LimitExceeded("batch has %d bytes, the maximum is %d", len(data), MaxBatchBytes)
	}
	b := &Batch{}
	if err := proto.Unmarshal(data, b); err != nil {
		return nil, trace.BadParameter("failed to decode batch of records: %v", err)
	}
	if b.GetSchema() > SchemaVersion {
		return nil, trace.Wrap(ErrNewerSchema)
	}
	if b.GetSchema() == 0 || b.GetNode() == "" {
		return nil, trace.BadParameter("invalid batch of records: schema version or node name is missing")
	}
	return b, nil
}
