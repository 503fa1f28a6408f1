package place

import (
	"math"
	"time"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/lead"
)

// Evidence of an attempt as a change of log odds: the logarithm of how much
// more often an unhealthy target shows this result than a healthy one.
const (
	// evidenceErrorStatus stands for an error status. Healthy targets answer about
	// one request in a hundred with one, unhealthy targets half of the requests.
	evidenceErrorStatus = 3.5
	// evidenceReset stands for a refused or broken connection.
	evidenceReset = 3.0
	// evidenceInvalidBody stands for a truncated or invalid body.
	evidenceInvalidBody = 2.0
	// EvidenceNoResponseP90 stands for no response within the time of 9 in 10
	// responses of the route; EvidenceNoResponseP98 is added at that of 49 in 50.
	EvidenceNoResponseP90 = 2.2
	EvidenceNoResponseP98 = 1.6
	// evidenceGood stands for a good response.
	evidenceGood = -0.7
	// evidenceSlow stands for a response slower than 99 in 100.
	evidenceSlow = 0.8
)

const (
	priorLogOdds = lead.PriorLogOdds
	minLogOdds   = -4.5
	maxLogOdds   = 6.0
	// evidenceDecay is the time in which evidence loses weight by the factor e. Targets
	// that fell silent fall silent again, more often than others for about this time.
	evidenceDecay = 6 * time.Second
)

// EvidenceOf returns the evidence that the verdict of an attempt stands for.
func EvidenceOf(verdict ferry.Verdict) float64 {
	switch verdict {
	case ferry.VerdictGood:
		return evidenceGood
	case ferry.VerdictErrorStatus:
		return evidenceErrorStatus
	case ferry.VerdictReset, ferry.VerdictDialRefused:
		return evidenceReset
	case ferry.VerdictCutBody:
		return evidenceInvalidBody
	case ferry.VerdictStall:
		return EvidenceNoResponseP90
	case ferry.VerdictSlow:
		return evidenceSlow
	case ferry.VerdictNone, ferry.VerdictShed:
	}
	return 0
}

// decayLogOdds returns the log odds that remain after elapsed without evidence.
func decayLogOdds(logOdds float64, elapsed time.Duration) float64 {
	return priorLogOdds + (logOdds-priorLogOdds)*math.Exp(-elapsed.Seconds()/evidenceDecay.Seconds())
}

// clampLogOdds limits log odds to a range that new evidence can soon leave.
func clampLogOdds(logOdds float64) float64 {
	return min(maxLogOdds, max(minLogOdds, logOdds))
}
