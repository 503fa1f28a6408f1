package ferry

// Distance orders places by the cost of reaching them.
type Distance int

// Distances between two places.
const (
	SamePlace Distance = iota
	SameRegion
	OtherRegion
	// DistanceCount is the number of distances.
	DistanceCount
)

// String returns the name of the distance in logs and metrics.
func (d Distance) String() string {
	switch d {
	case SamePlace:
		return "SamePlace"
	case SameRegion:
		return "SameRegion"
	case OtherRegion:
		return "OtherRegion"
	default:
		return "Unknown"
	}
}

// Regions maps each place to its region. A nil Regions is empty.
type Regions map[PlaceID]RegionID

// NewRegions returns the regions of the given places.
func NewRegions(places []Place) Regions {
	regions := make(Regions, len(places))
	for _, place := range places {
		regions[place.ID] = place.Region
	}
	return regions
}

// Distance returns the distance between two places. Places without a known
// region count as one region.
func (r Regions) Distance(from, to PlaceID) Distance {
	switch {
	case from == to:
		return SamePlace
	case r[from] == r[to]:
		return SameRegion
	default:
		return OtherRegion
	}
}
