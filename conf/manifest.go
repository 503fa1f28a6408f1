package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"monsoonferry.org/ferry"
)

// Names of the values that the platform publishes.
const (
	ManifestName = "Manifest"
	VMListName   = "VMs"
	partPrefix   = "Part-"
)

// Manifest describes one version of the inventory. The zero Manifest means that
// there is no configuration.
type Manifest struct {
	Version uint64
	MaxVMs  int
	// Parts are the names of the values that hold the content.
	Parts []string
}

type manifestDocument struct {
	Version uint64
	MaxVMs  int
	Parts   []string
}

// ParseManifest decodes a manifest. It returns ProblemsError if the manifest is
// invalid.
func ParseManifest(text []byte) (Manifest, error) {
	var document manifestDocument
	if err := decode(text, &document); err != nil {
		return Manifest{}, err
	}
	var problems ProblemsError
	if document.Version == 0 {
		problems.add("Version", "the version must be above zero")
	}
	for i, name := range document.Parts {
		digest := len(name) - len(partPrefix)
		if digest != hex.EncodedLen(sha256.Size) || name[:len(partPrefix)] != partPrefix {
			problems.add(fmt.Sprintf("Parts[%d]", i), "%q is not the name of a part", name)
		}
	}
	if err := problems.errorOrNil(); err != nil {
		return Manifest{}, err
	}
	return Manifest(document), nil
}

// FormatManifest encodes a manifest.
func FormatManifest(manifest Manifest) ([]byte, error) {
	return json.Marshal(manifestDocument(manifest))
}

// PartName returns the name under which a part with this content is published.
func PartName(body []byte) string {
	digest := sha256.Sum256(body)
	return partPrefix + hex.EncodeToString(digest[:])
}

// Assemble merges the parts of a manifest into an inventory. It returns
// ProblemsError if a part is missing, altered or invalid.
func Assemble(manifest Manifest, parts map[string][]byte) (*ferry.Inventory, error) {
	var problems ProblemsError
	merged := inventoryDocument{Version: manifest.Version, MaxVMs: manifest.MaxVMs}
	for i, name := range manifest.Parts {
		path := fmt.Sprintf("Parts[%d]", i)
		body, ok := parts[name]
		if !ok || PartName(body) != name {
			problems.add(path, "the part %s is missing or altered", name)
			continue
		}
		var part inventoryDocument
		if err := decode(body, &part); err != nil {
			problems.add(path, "%v", err)
			continue
		}
		merged.Places = append(merged.Places, part.Places...)
		merged.Services = append(merged.Services, part.Services...)
		merged.Targets = append(merged.Targets, part.Targets...)
		merged.Accounts = append(merged.Accounts, part.Accounts...)
		merged.Routes = append(merged.Routes, part.Routes...)
	}
	if err := problems.errorOrNil(); err != nil {
		return nil, err
	}
	return acceptDocument(merged)
}

// Accounts are sharded so that a part stays far below MaxValueBytes and the
// change of one key changes one part only.
const (
	accountsPerPart = 1000
	targetsPerPart  = 2000
)

// Split divides an inventory into a manifest and its parts, keyed by name.
func Split(inventory *ferry.Inventory) (Manifest, map[string][]byte, error) {
	document := toDocument(inventory)
	documents := []inventoryDocument{{Places: document.Places, Services: document.Services, Routes: document.Routes}}
	for chunk := range slices.Chunk(document.Targets, targetsPerPart) {
		documents = append(documents, inventoryDocument{Targets: chunk})
	}
	shards := make([][]accountDocument, (len(document.Accounts)+accountsPerPart-1)/accountsPerPart)
	for _, account := range document.Accounts {
		shard := xxhash.Sum64String(account.ID) % uint64(len(shards))
		shards[shard] = append(shards[shard], account)
	}
	for _, shard := range shards {
		documents = append(documents, inventoryDocument{Accounts: shard})
	}
	manifest := Manifest{Version: inventory.Version, MaxVMs: inventory.MaxVMs}
	parts := map[string][]byte{}
	for _, part := range documents {
		var body []byte
		var err error
		if body, err = json.Marshal(part); err != nil {
			return Manifest{}, nil, fmt.Errorf("encode a part: %w", err)
		}
		name := PartName(body)
		parts[name] = body
		manifest.Parts = append(manifest.Parts, name)
	}
	return manifest, parts, nil
}
