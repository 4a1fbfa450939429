package cellnode

import (
	"go.uber.org/zap"

	"cactuswall.example/cactuswall/internal/cpuinterference"
	"cactuswall.example/cactuswall/internal/recordcodec"
)

// evidence returns what the owner has learned about interference from the workers of its cell.
func (o *owner) evidence() cpuinterference.Evidence {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cell.Evidence()
}

func (o *owner) addEvidence(cell int, e cpuinterference.Evidence) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.AddEvidence(cell, e)
}

// shareEvidence passes what each owner on this node has learned to the others.
func (n *Node) shareEvidence(owned []*owner) {
	for _, from := range owned {
		for _, to := range owned {
			if from != to {
				to.addEvidence(from.member.cell, from.evidence())
			}
		}
	}
}

// encodedEvidence returns what the owners on this node have learned, by cell.
func (n *Node) encodedEvidence(owned []*owner) map[int][]byte {
	encoded := make(map[int][]byte)
	for _, o := range owned {
		e := o.evidence()
		value, err := recordcodec.Encode(&e)
		if err != nil {
			n.log.Error("failed to encode record", zap.Int("cell", o.member.cell), zap.Error(err))
			continue
		}
		encoded[o.member.cell] = value
	}
	return encoded
}

// addEvidence passes what the owner of a cell on another node has learned to the owners on this node.
func (n *Node) addEvidence(owned []*owner, cell int, encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	var e cpuinterference.Evidence
	if err := recordcodec.Decode(encoded, &e); err != nil {
		n.counts.UnreadableRecords.Inc()
		n.log.Warn("skipping unreadable record", zap.Int("cell", cell), zap.Error(err))
		return
	}
	for _, o := range owned {
		if o.member.cell != cell {
			o.addEvidence(cell, e)
		}
	}
}
