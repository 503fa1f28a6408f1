package check

// Severity tells how bad a finding is. The zero value means that nothing was found.
type Severity int

// Severities.
const (
	// None is the severity of an empty list of findings.
	None Severity = iota
	// Warning is what works, but probably not as meant.
	Warning
	// Error is what a VM can't use as it is written.
	Error
)

// String returns the severity as it appears in the output.
func (s Severity) String() string {
	switch s {
	case Error:
		return "Error"
	case Warning:
		return "Warning"
	case None:
	}
	return "None"
}

// ExitCode returns the exit code of a command whose worst finding has the severity.
func (s Severity) ExitCode() int { return int(s) }

// Rule describes one check.
type Rule struct {
	ID       string
	Severity Severity
	// Text tells what is wrong and what follows from it.
	Text string
	// Example is a mistake that the rule finds.
	Example string
}

// IDs of the rules. The first ones are those of the decoder.
const (
	UnreadableConfiguration = "UnreadableConfiguration"
	UnreadableVersion       = "UnreadableVersion"
	UnreadableRoute         = "UnreadableRoute"
	UnreadableService       = "UnreadableService"
	UnreadableAccount       = "UnreadableAccount"
	UnreadableTargets       = "UnreadableTargets"
	UnreadableInForce       = "UnreadableInForce"
	UnreadableTarget        = "UnreadableTarget"
	UnknownKind             = "UnknownKind"

	SharedKey  = "SharedKey"
	EqualRoute = "EqualRoute"

	HiddenRoute        = "HiddenRoute"
	OddPrefix          = "OddPrefix"
	OddHost            = "OddHost"
	RepeatedName       = "RepeatedName"
	UnusedService      = "UnusedService"
	UnlistedService    = "UnlistedService"
	NoTargets          = "NoTargets"
	EmptyPart          = "EmptyPart"
	UnknownHome        = "UnknownHome"
	HomesWithoutTarget = "HomesWithoutTarget"
	LateObjective      = "LateObjective"
	UnpayableAttempts  = "UnpayableAttempts"
	BodyAboveMemory    = "BodyAboveMemory"
	NoKeys             = "NoKeys"
	SmallRate          = "SmallRate"
	SmallBurst         = "SmallBurst"
	BurstWithoutRate   = "BurstWithoutRate"
	NegativeNumber     = "NegativeNumber"

	VersionNotHigher = "VersionNotHigher"
	RouteRemoved     = "RouteRemoved"
	RouteMoved       = "RouteMoved"
	KindChanged      = "KindChanged"
	DeadlineLowered  = "DeadlineLowered"
	KeyRequired      = "KeyRequired"
	HomesNarrowed    = "HomesNarrowed"
	AccountRemoved   = "AccountRemoved"
	KeysWithdrawn    = "KeysWithdrawn"
	AllowanceLowered = "AllowanceLowered"
	LimitLowered     = "LimitLowered"
)

// Rules is the table of all rules, in the order of docs/CHECKS.md.
var Rules = []Rule{
	{UnreadableConfiguration, Error, "The file is not JSON, or a field of the whole configuration has the wrong type. VMs keep the version in force.", "a comma is missing between two routes"},
	{UnreadableVersion, Error, "The version is missing or not a number after an optional `r`. VMs keep the version in force.", "the version is `\"seven\"`"},
	{UnreadableRoute, Error, "A route can't be read. Its requests are refused, or, without a readable host and prefix, it matches none.", "the deadline is the text `\"4s\"`"},
	{UnreadableService, Error, "A service can't be read. Its limits do not apply.", "the number of connections is `\"many\"`"},
	{UnreadableAccount, Error, "A client account can't be read. Its requests are refused, or, without a readable name and keys, its keys are unknown.", "the rate is the text `\"185\"`"},
	{UnreadableTargets, Error, "The list of targets is not a saved response of the store. No rule about targets was checked.", "the file holds the configuration"},
	{UnreadableInForce, Error, "The version in force can't be read. Nothing was compared with it.", "the file is empty"},
	{VersionNotHigher, Error, "The version is not higher than the one in force. VMs ignore it.", "`r7` is sent while `r7` is in force"},
	{SharedKey, Error, "A key is held by two client accounts. Its requests count for the later one.", "a key was copied with its account"},
	{EqualRoute, Error, "Two routes have the same host and prefix. Only the later one gets requests.", "`/a/` of one host is listed twice"},

	{UnreadableTarget, Warning, "The entry of a target can't be used. VMs ignore it.", "the entry has no address"},
	{UnknownKind, Warning, "The kind of a route is unknown. Its requests run at most once.", "the kind is `stream`"},
	{HiddenRoute, Warning, "A route differs from another one only by a slash at the end or by the case of its host, so that it gets few requests or none.", "`/a` beside `/a/`"},
	{OddPrefix, Warning, "A prefix does not begin and end with a slash. It matches at most the one path that equals it.", "`/a`"},
	{OddHost, Warning, "A host has an upper-case letter, a port or a space. It matches no request.", "`Shop.example:443`"},
	{RepeatedName, Warning, "Two routes, services or client accounts have one name. Only the later service or account counts, and logs can't tell them apart.", "a route was copied and only its prefix changed"},
	{UnusedService, Warning, "No route uses a service.", "its last route was removed"},
	{UnlistedService, Warning, "The service of a route is not listed. Its targets get no limits.", "the name of a service is misspelt"},
	{NoTargets, Warning, "The service of a route has no target, or only targets that are leaving. Its requests are refused.", "a service whose targets were not started yet"},
	{EmptyPart, Warning, "A part of a split has a weight of zero or less. It gets no requests.", "the weight is 0"},
	{UnknownHome, Warning, "A home is not the region of any place of the settings.", "the name of a region is misspelt"},
	{HomesWithoutTarget, Warning, "No target in the homes can serve the requests of a route or client account. They are refused.", "the homes list a region without targets"},
	{LateObjective, Warning, "The objective of a route is above its deadline. It can't be missed before the request has failed.", "1,200 ms for responses, 1,000 ms for the request"},
	{UnpayableAttempts, Warning, "A route allows several attempts, but the settings allow no retries.", "three attempts and a negative retry ratio"},
	{BodyAboveMemory, Warning, "The limit of a body is above the memory of a VM.", "512 MB on VMs of 256 MB"},
	{NoKeys, Warning, "A client account has no key. Nobody can use it.", "the list of keys is empty"},
	{SmallRate, Warning, "A rate is above zero and below one request per second. A VM can only grant whole requests, so callers wait for seconds.", "a rate of 0.5"},
	{SmallBurst, Warning, "An account has a rate, but a burst below one request. VMs grant one request at a time, so that two at one instant are refused.", "a rate of 20 and no burst"},
	{BurstWithoutRate, Warning, "An account has a burst, but no rate. It has no limit at all.", "a burst of 50 and a rate of 0"},
	{NegativeNumber, Warning, "A number is below zero. It counts as no limit, as the default, or as the most urgent rank.", "a rate of -1"},

	{RouteRemoved, Warning, "A route of the version in force is gone. Its requests get 404, or go to a route with a shorter prefix.", "`/a/` is no longer listed"},
	{RouteMoved, Warning, "The requests of a route go to another service, or are divided differently.", "`/a/` goes from one service to another"},
	{KindChanged, Warning, "The kind of a route is another one, which changes what may run more than once.", "from `unsafe` to `safe`"},
	{DeadlineLowered, Warning, "The deadline of a route is shorter. Slow requests fail sooner.", "from 4 s to 2 s"},
	{KeyRequired, Warning, "An open route now requires a key.", "a route is no longer open"},
	{HomesNarrowed, Warning, "Fewer regions may serve the requests of a route or client account.", "from two homes to one"},
	{AccountRemoved, Warning, "A client account of the version in force is gone with all its keys.", "a customer has left"},
	{KeysWithdrawn, Warning, "Keys of a client account are no longer listed for it. Their requests are refused, or count for another account.", "one of two keys is gone"},
	{AllowanceLowered, Warning, "The rate or burst of a client account is lower.", "from 185 to 100 requests per second"},
	{LimitLowered, Warning, "A limit of callers' headers, bodies or time-outs is lower.", "bodies from 64 MB to 1 MB"},
}

var severities = func() map[string]Severity {
	result := make(map[string]Severity, len(Rules))
	for _, rule := range Rules {
		result[rule.ID] = rule.Severity
	}
	return result
}()

// SeverityOf returns the severity of a rule. A rule that is not in the table counts as
// an error.
func SeverityOf(id string) Severity {
	if severity, ok := severities[id]; ok {
		return severity
	}
	return Error
}
