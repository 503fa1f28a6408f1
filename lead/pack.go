package lead

import "time"

// packCache keeps the last compressed update, since most VMs lack the same records.
type packCache struct {
	after, revision, config uint64
	at                      time.Duration
	packed                  []byte
}

// packLifetime is how long a compressed update is reused. Its hold times go
// stale.
const packLifetime = 100 * time.Millisecond

// pack returns the compressed update after a revision and the revision of the
// configuration that serves as its dictionary, or zero for none.
func (p *packCache) pack(now time.Duration, records *Records, after, config uint64) (packed []byte, dictionary uint64, err error) {
	body := records.dictionary(config)
	if body == nil {
		config = 0
	}
	if p.packed != nil && p.after == after && p.revision == records.Revision() && p.config == config && now-p.at < packLifetime {
		return p.packed, config, nil
	}
	if packed, err = PackUpdate(records.Since(now, after), body); err != nil {
		return nil, 0, err
	}
	*p = packCache{after: after, revision: records.Revision(), config: config, at: now, packed: packed}
	return packed, config, nil
}
