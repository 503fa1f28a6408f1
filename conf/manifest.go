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

// Manifest describes one version of the inventory. The zero Manifest stands
// for no configuration.
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

// ParseManifest decodes a manifest. It returns ProblemsError when the manifest is
// not acceptable.
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
	if err := problems.orNil(); err != nil {
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

// Assemble joins the parts of a manifest into an inventory. It returns
// ProblemsError when a part is missing, altered or not acceptable.
func Assemble(manifest Manifest, parts map[string][]byte) (*ferry.Inventory, error) {
	var problems ProblemsError
	whole := inventoryDocument{Version: manifest.Version, MaxVMs: manifest.MaxVMs}
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
		whole.Places = append(whole.Places, part.Places...)
		whole.Services = append(whole.Services, part.Services...)
		whole.Targets = append(whole.Targets, part.Targets...)
		whole.Accounts = append(whole.Accounts, part.Accounts...)
		whole.Routes = append(whole.Routes, part.Routes...)
	}
	if err := problems.orNil(); err != nil {
		return nil, err
	}
	return acceptDocument(whole)
}

// Accounts are sharded so that one part stays far below MaxValueBytes and the
// change of one key moves one part only.
const (
	accountsPerPart = 1000
	targetsPerPart  = 2000
)

// Split divides an inventory into a manifest and its parts, keyed by name.
func Split(inventory *ferry.Inventory) (Manifest, map[string][]byte, error) {
	document := toDocument(inventory)
	pieces := []inventoryDocument{{Places: document.Places, Services: document.Services, Routes: document.Routes}}
	for chunk := range slices.Chunk(document.Targets, targetsPerPart) {
		pieces = append(pieces, inventoryDocument{Targets: chunk})
	}
	shards := make([][]accountDocument, (len(document.Accounts)+accountsPerPart-1)/accountsPerPart)
	for _, account := range document.Accounts {
		shard := xxhash.Sum64String(account.ID) % uint64(len(shards))
		shards[shard] = append(shards[shard], account)
	}
	for _, shard := range shards {
		pieces = append(pieces, inventoryDocument{Accounts: shard})
	}
	manifest := Manifest{Version: inventory.Version, MaxVMs: inventory.MaxVMs}
	parts := map[string][]byte{}
	for _, piece := range pieces {
		var body []byte
		var err error
		if body, err = json.Marshal(piece); err != nil {
			return Manifest{}, nil, fmt.Errorf("encode a part: %w", err)
		}
		name := PartName(body)
		parts[name] = body
		manifest.Parts = append(manifest.Parts, name)
	}
	return manifest, parts, nil
}
