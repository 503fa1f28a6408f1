package auth

import "monsoonferry.org/ferry"

// Index finds the client account that owns a key. It is immutable; the zero
// Index contains no keys.
type Index struct {
	owners map[ferry.KeyHash]*ferry.Account
}

// NewIndex builds the index of the given client accounts.
func NewIndex(accounts []ferry.Account) Index {
	owners := make(map[ferry.KeyHash]*ferry.Account, len(accounts))
	for i := range accounts {
		for _, key := range accounts[i].Keys {
			owners[key] = &accounts[i]
		}
	}
	return Index{owners: owners}
}

// Owner returns the client account that owns key, or nil.
func (i Index) Owner(key ferry.KeyHash) *ferry.Account {
	return i.owners[key]
}
