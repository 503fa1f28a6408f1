package lead

import "time"

// packCache keeps the last compressed update, since most VMs lack the same records.
type packCache struct {
	after, revision, dictionary uint64
	at                          time.Duration
	packed                      []byte
}

// packLifetime is how long a compressed update is reused. Its hold times go
// stale.
const packLifetime = 100 * time.Millisecond

// pack returns the compressed update after a revision and the ID of its dictionary: the
// one that is wanted, or zero if this VM lacks it.
func (p *packCache) pack(now time.Duration, records *Records, after, wanted uint64) (packed []byte, dictionary uint64, err error) {
	body := records.dictionary(wanted)
	if body != nil {
		dictionary = wanted
	}
	if p.packed != nil && p.after == after && p.revision == records.Revision() && p.dictionary == dictionary && now-p.at < packLifetime {
		return p.packed, dictionary, nil
	}
	if packed, err = PackUpdate(records.Since(now, after), body); err != nil {
		return nil, 0, err
	}
	*p = packCache{after: after, revision: records.Revision(), dictionary: dictionary, at: now, packed: packed}
	return packed, dictionary, nil
}
