package main

// cases are the cases by name. Each returns what broke the rule, or nothing.
var cases = map[string]func(r *record, hasTrouble bool) (broken string, err error){
	"reset-unframed": playResetUnframed,
	"retry-budget":   playBudget,
	"two-halves":     playTwoHalves,
	"seeds-down":     playSeedsDown,
}
