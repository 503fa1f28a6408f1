package lead

import (
	"cmp"
	"slices"
	"time"

	"monsoonferry.org/ferry"
)

const (
	// CreditTerm is how long a credit is valid, counted from the heartbeat to which the
	// reply with the credit responds: the time to the next heartbeat.
	CreditTerm = primaryInterval
	// creditRateFactor is the part of the rate which a cold target tolerates that credits
	// are granted for. In one second the credits of that second and of the CreditTerm
	// before may be used: 1.05 times the rate, what the buckets of the sides of a partition
	// hold, at most one each and together 0.14 times the rate, and no more.
	creditRateFactor = 0.7
	// creditGap is the time for which more than one credit accrues: heartbeats come at the
	// ticks of the followers, so that a leader gets none for a while.
	creditGap = 200 * time.Millisecond
	// minCreditFraction is the least part of the VMs of a place whose leader grants
	// credits: at most four sides of a partition do, each with one credit saved up.
	minCreditFraction = 0.25
	// maxReplyCredits is the largest number of credits in a reply.
	maxReplyCredits = 8
	// maxCreditRate is the largest number of credits per second of a place leader to its
	// followers, in about 3 KB.
	maxCreditRate = 200.0
)

// ColdTarget is a target that gets requests by credits only.
type ColdTarget struct {
	Target ferry.TargetID
	// Rate is the number of requests per second that it tolerates from all VMs.
	Rate float64
}

// creditBucket holds the part of a credit that has accrued for a cold target. It starts
// empty and holds one credit at most and what accrues in a creditGap.
type creditBucket struct {
	rate      float64
	level     float64
	grantedAt time.Duration
}

// credits decides, for a place leader, which VM of the place sends the next request to a
// cold target. The leader grants at the rate that the target tolerates, times the part of
// the VMs of the place that lease it their share of the allowances. No VM leases its share
// twice, so the sides of a partition and successive leaders stay below the rate together.
// The zero credits has no targets.
type credits struct {
	buckets map[ferry.TargetID]*creditBucket
	// order holds the keys of buckets, the one that was granted least recently first.
	order []ferry.TargetID
	// at is when the buckets were filled last, and fraction the part of the place then.
	at       time.Duration
	fraction float64
	// replyBudget is the number of credits that replies may carry now.
	replyBudget float64
	// nextOwnAt is when this VM grants credits to itself again.
	nextOwnAt time.Duration
	granted   uint64
	// largestPlace is the largest recent number of VMs of the place, seen at largestAt.
	largestPlace int
	largestAt    time.Duration
}

// setTargets replaces the cold targets. A new one has an empty bucket.
func (c *credits) setTargets(targets []ColdTarget) {
	former := c.buckets
	if len(targets) == 0 && len(former) == 0 {
		return
	}
	c.buckets = make(map[ferry.TargetID]*creditBucket, len(targets))
	for _, target := range targets {
		bucket := former[target.Target]
		if bucket == nil {
			bucket = &creditBucket{}
			c.order = append(c.order, target.Target)
		}
		bucket.rate = target.Rate
		c.buckets[target.Target] = bucket
	}
	c.order = slices.DeleteFunc(c.order, func(id ferry.TargetID) bool { return c.buckets[id] == nil })
}

// isCold reports whether a target gets requests by credits only.
func (c *credits) isCold(target ferry.TargetID) bool { return c.buckets[target] != nil }

// fill lets credits accrue for the part of the place that this VM leads. A VM that grants
// none loses what has accrued.
func (c *credits) fill(now time.Duration, fraction float64) {
	elapsed := (now - c.at).Seconds()
	factor := min(c.fraction, fraction) * creditRateFactor
	c.at, c.fraction = now, fraction
	c.replyBudget = min(maxReplyCredits, c.replyBudget+elapsed*maxCreditRate)
	for _, bucket := range c.buckets {
		if fraction < minCreditFraction {
			bucket.level = 0
			continue
		}
		bucket.level = min(1+creditGap.Seconds()*factor*bucket.rate, bucket.level+elapsed*factor*bucket.rate)
	}
}

// grant takes up to limit credits, of the targets granted least recently.
func (c *credits) grant(now time.Duration, limit int) []ferry.TargetID {
	var granted []ferry.TargetID
	for _, id := range c.order {
		if bucket := c.buckets[id]; len(granted) < limit && bucket.level >= 1 {
			bucket.level, bucket.grantedAt = bucket.level-1, now
			granted = append(granted, id)
		}
	}
	if len(granted) > 0 {
		c.granted += uint64(len(granted))
		slices.SortFunc(c.order, func(a, b ferry.TargetID) int {
			return cmp.Or(cmp.Compare(c.buckets[a].grantedAt, c.buckets[b].grantedAt), cmp.Compare(a, b))
		})
	}
	return granted
}

// addPlaceSize notes the number of VMs of the place. A smaller one counts only after
// fleetSizeWindow: the others may be on the other side of a partition.
func (c *credits) addPlaceSize(now time.Duration, size int) {
	if size >= c.largestPlace || now-c.largestAt > fleetSizeWindow {
		c.largestPlace, c.largestAt = size, now
	}
}

// SetCold replaces the cold targets of this VM's place. It must be called at every tick.
func (c *Controller) SetCold(now ferry.Moment, targets []ColdTarget) {
	c.usage.credits.addPlaceSize(now.Monotonic, c.placeSize())
	c.usage.credits.setTargets(targets)
	c.fillCredits(now)
}

// CreditsGranted returns the number of credits that this VM has granted.
func (c *Controller) CreditsGranted() uint64 { return c.usage.credits.granted }

func (c *Controller) fillCredits(now ferry.Moment) {
	if credits := &c.usage.credits; len(credits.buckets) > 0 {
		credits.fill(now.Monotonic, c.placeFraction(now))
	}
}

// placeFraction returns the part of the VMs of this VM's place for which it grants
// credits, from 0 to 1. Each VM counts at one leader only, the one that holds the lease of
// its share. A process that has just started may not know the others yet.
func (c *Controller) placeFraction(now ferry.Moment) float64 {
	if !c.leadsPlace || !c.self.Established || c.self.Leaving || c.ownShare(now) == 0 {
		return 0
	}
	vms := 0.0
	if !c.leasesToPlace(now) {
		vms = 1
	}
	for _, l := range c.sortedLinks() {
		if l.vm.Place == c.self.Place && l.isLeasedAt(now) {
			vms += l.leasedShare * float64(l.fleetSize)
		}
	}
	return min(1, vms/float64(c.assumedPlaceSize(now)))
}

// leasesToPlace reports whether another VM of the place may hold the share of this one.
func (c *Controller) leasesToPlace(now ferry.Moment) bool {
	holder := c.links[c.grantedLease.holder]
	return !c.grantedLease.isExpired(now) && (holder == nil || holder.vm.Place == c.self.Place)
}

// assumedPlaceSize returns the number of VMs by which the rate of the place is divided:
// the largest of the last fleetSizeWindow. A process that started since may never have
// seen the others. To it, all VMs that it misses are of its place. A VM that does not know
// the size of the fleet assumes an average place at least.
func (c *Controller) assumedPlaceSize(now ferry.Moment) int {
	size := max(1, c.usage.credits.largestPlace)
	if now.Monotonic-c.started <= fleetSizeKnownAfter {
		size = max(size, c.placeSize()+c.FleetSize()-len(c.view))
	}
	if c.knowsFleetSize(now.Monotonic) {
		return size
	}
	places := max(1, len(c.options.Regions))
	return max(size, (c.assumedSize()+places-1)/places)
}

// replyCredits returns the credits for a follower whose heartbeat arrived just now: only
// then does the follower know that they are new.
func (c *Controller) replyCredits(now ferry.Moment, l *link) []ferry.TargetID {
	credits := &c.usage.credits
	if len(credits.buckets) == 0 || l.heartbeatAt != now.Monotonic || l.omitsEvidence || !l.vm.Ready || l.vm.Leaving {
		return nil
	}
	c.fillCredits(now)
	granted := credits.grant(now.Monotonic, int(credits.replyBudget))
	credits.replyBudget -= float64(len(granted))
	return granted
}

// grantOwnCredits grants credits to this VM as to one of its followers, or whenever there
// are any if it is alone.
func (c *Controller) grantOwnCredits(now ferry.Moment) {
	credits := &c.usage.credits
	if len(credits.buckets) == 0 || !c.leadsPlace || !c.self.Ready || now.Monotonic < credits.nextOwnAt {
		return
	}
	c.fillCredits(now)
	if c.placeSize() > 1 {
		credits.nextOwnAt = now.Monotonic + primaryInterval
	}
	if granted := credits.grant(now.Monotonic, maxReplyCredits); len(granted) > 0 {
		c.emit(AddCredits{Targets: granted, Until: now.Add(CreditTerm)})
	}
}

// receiveCredits passes on the credits of a reply, valid from the heartbeat to which it
// responds.
func (c *Controller) receiveCredits(l *link, exchange Exchange) {
	sent, hasEcho := l.sentAt(exchange.Echo)
	if len(exchange.Credits) > 0 && hasEcho && l.vm.Place == c.self.Place {
		c.emit(AddCredits{Targets: exchange.Credits, Until: sent.Add(CreditTerm)})
	}
}
