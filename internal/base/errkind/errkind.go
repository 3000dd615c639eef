// Package errkind defines the closed list of error kinds and the table that maps
// each kind to what a caller or an operator gets: HTTP status, outcome, retry
// advice and exit code.
//
// Every error that leaves a package of this module carries exactly one kind.
// A new kind needs a row in the table and in docs/ERRORS.md; a test compares
// the two. Package errkind imports no other package of this module.
package errkind

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the number of an error kind. Numbers are stable across releases and
// are never reused.
type Kind uint16

// Outcome says what is known about the execution of a request. It is sent to
// callers in the Knapweedpier-Outcome header.
type Outcome string

// Outcomes that a response can state.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Request kinds: why an agent did not answer a caller with a response of the
// backend server.
const (
	BackendFull      Kind = 101 // no slot is free here, nor at the peer to which the agent tried to relay
	BackendLeaving   Kind = 102 // the backend server is leaving and accepts no new requests
	BackendDown      Kind = 103 // no connection to the backend server could be opened
	BackendShed      Kind = 104 // the backend server refused the request and stated that it did not execute it
	BackendLost      Kind = 105 // the connection failed after at least one byte had been sent
	DeadlineNotRun   Kind = 106 // the deadline passed before the first byte was sent
	DeadlineUnknown  Kind = 107 // the deadline passed while the request was in progress
	TicketExpired    Kind = 108 // the ticket's issuer is gone and no earlier attempt was sent
	TicketUnknown    Kind = 109 // the ticket's issuer is gone after an earlier attempt
	TicketInvalid    Kind = 110 // the ticket does not parse or its MAC is wrong
	DomainOut        Kind = 111 // the failure domain has been taken out of service
	AgentFenced      Kind = 112 // the agent was paused longer than its lease
	RetryBudget      Kind = 113 // the retry budget is spent
	ConnectionsFull  Kind = 114 // the backend server's connection limit is reached
	RequestTooLarge  Kind = 115 // the request body exceeds the limit for requests that are buffered to be sent again
	CallerCancelled  Kind = 116 // the caller cancelled the request
	RelayNotPossible Kind = 117 // a relayed request cannot be relayed again
	BackendFailing   Kind = 118 // the backend server fails too many of its requests
	AgentNew         Kind = 119 // not all balancers have learnt of the agent yet
	HandoverPending  Kind = 120 // a handover of an earlier process, which lacks new flows, may still be used
)

// Packet kinds: malformed or unauthenticated input on the data path.
const (
	PacketMalformed   Kind = 201 // not a QUIC packet
	PacketUnsteerable Kind = 202 // the connection ID fails MAC verification
	PacketWrongTarget Kind = 203 // the packet belongs to another service
	TunnelMalformed   Kind = 204 // the tunnel header does not parse
	TunnelTag         Kind = 205 // the tunnel header fails MAC verification
	PacketDomainOut   Kind = 206 // the packet's failure domain has been taken out of service
	PacketNoAgent     Kind = 207 // no agent is a candidate for the new flow
	PacketIsolated    Kind = 208 // the balancer is isolated and forwards nothing
	PacketNoRoute     Kind = 209 // the configuration has no route to the packet's address
	PacketNoHolder    Kind = 210 // no agent holds the packet's flow
	PacketFlowLost    Kind = 211 // the backend server no longer has the packet's flow
	PacketForged      Kind = 212 // the packet's type is not allowed from its source
	LinkFull          Kind = 213 // the balancer's link can't carry the flow in time
)

// Control kinds: platform, peers, keys and configuration.
const (
	PlatformDown      Kind = 301 // the platform is unreachable or answers 5xx
	PlatformLimited   Kind = 302 // the platform refused a call because of its rate limit
	VersionConflict   Kind = 303 // another writer changed the object before a conditional update
	OutcomeUnread     Kind = 304 // the response to an update was lost, and reading the object back failed
	NotFound          Kind = 305 // the object does not exist
	ConfigInvalid     Kind = 306 // a configuration fails its checks
	ConfigOlder       Kind = 307 // a configuration is older than the one in force
	PeerUnauthorized  Kind = 308 // a peer holds no key of the key ring
	PeerMalformed     Kind = 309 // a peer message does not parse
	PeerDown          Kind = 310 // a peer cannot be reached
	KeyRingInvalid    Kind = 311 // the key ring does not parse
	NotInForce        Kind = 312 // a generation was not in force in all processes before the wait ended
	CertificateFailed Kind = 313 // a TLS certificate cannot be loaded
	HistoryGone       Kind = 314 // the platform no longer has the changes since a revision
	ReportStale       Kind = 315 // a report of a backend server is older than the latest one known
	ReportMalformed   Kind = 316 // a report doesn't parse or is for another backend server
	HandoverUnusable  Kind = 317 // a handover is too old or too large, or of another service or run of the backend server
)

// Operator kinds: input of operators.
const (
	SheetInvalid   Kind = 401 // a sheet has faults
	SheetStale     Kind = 402 // a sheet is based on an older configuration than the accepted one
	SettingInvalid Kind = 403 // a setting is missing, malformed or contradictory
	ServiceDown    Kind = 404 // the status command found a service that is down
	PromiseBroken  Kind = 405 // a run of quickstart violated a promise of the design
	ReportFailed   Kind = 406 // a report could not be written
)

// Internal is the kind of an unexpected error, such as one without a kind.
const Internal Kind = 901

// Definition is the table row of an error kind: what callers, programs and
// operators get.
type Definition struct {
	Kind       Kind
	Name       string        // stable, lower case with hyphens
	HTTPStatus int           // status of the response, 0 if the kind is never sent over HTTP
	Outcome    Outcome       // what is known about the execution, empty if no request is involved
	RetryAfter time.Duration // delay after which a caller may retry, 0 for no advice
	ExitCode   int           // exit code of a program that ends with this kind
	Meaning    string        // one sentence for docs/ERRORS.md
}

// Exit codes of the programs.
const (
	ExitFailure  = 1 // a check failed or a promise of the design was violated
	ExitUsage    = 2 // an invalid setting, key ring, certificate, configuration or sheet
	ExitConflict = 3 // another writer's change came first
	ExitPlatform = 4 // the platform, or every balancer that was asked, is unreachable
	ExitLagging  = 5 // a generation is not in force in all processes
)

const defaultRetryAfter = time.Second

var table = []Definition{
	{BackendFull, "backend-full", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "No slot is free at the backend server, nor at the peer that was asked."},
	{BackendLeaving, "backend-leaving", http.StatusServiceUnavailable, OutcomeNotRun, 0, ExitFailure, "The backend server takes no new work and no peer had room; a new flow reaches another one at once."},
	{BackendDown, "backend-down", http.StatusBadGateway, OutcomeNotRun, defaultRetryAfter, ExitFailure, "No connection to the backend server could be opened."},
	{BackendShed, "backend-shed", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "The backend server refused the request and said that it did not run."},
	{BackendLost, "backend-lost", http.StatusBadGateway, OutcomeUnknown, 0, ExitFailure, "The connection to the backend server failed after a byte had been sent."},
	{DeadlineNotRun, "deadline-not-run", http.StatusGatewayTimeout, OutcomeNotRun, defaultRetryAfter, ExitFailure, "The deadline passed before the request was sent to the backend server."},
	{DeadlineUnknown, "deadline-unknown", http.StatusGatewayTimeout, OutcomeUnknown, 0, ExitFailure, "The deadline passed while the request was in progress."},
	{TicketExpired, "ticket-expired", http.StatusConflict, OutcomeNotRun, 0, ExitFailure, "The ticket's issuer is gone and no earlier attempt was made; ask for a new ticket."},
	{TicketUnknown, "ticket-unknown", http.StatusConflict, OutcomeUnknown, 0, ExitFailure, "The ticket's issuer is gone after an earlier attempt; the outcome is final."},
	{TicketInvalid, "ticket-invalid", http.StatusBadRequest, OutcomeNotRun, 0, ExitFailure, "The ticket does not parse or its tag is wrong."},
	{DomainOut, "domain-out", http.StatusServiceUnavailable, OutcomeNotRun, 0, ExitFailure, "The failure domain has been taken out; a new flow reaches another one at once."},
	{AgentFenced, "agent-fenced", http.StatusServiceUnavailable, OutcomeNotRun, 0, ExitFailure, "The agent was paused longer than its lease and does not act on old requests."},
	{RetryBudget, "retry-budget", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "The retry budget is spent."},
	{ConnectionsFull, "connections-full", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "The backend server's connection limit is reached."},
	{RequestTooLarge, "request-too-large", http.StatusRequestEntityTooLarge, OutcomeNotRun, 0, ExitFailure, "The request body is larger than a relayed or ticketed request may be."},
	{CallerCancelled, "caller-cancelled", 499, OutcomeUnknown, 0, ExitFailure, "The caller cancelled the request."},
	{RelayNotPossible, "relay-not-possible", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "A relayed request found no room and is not relayed again."},
	{BackendFailing, "backend-failing", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "The backend server fails too many of its requests and gets few new flows."},
	{AgentNew, "agent-new", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "Not all balancers know the agent yet; it takes no new flows."},
	{HandoverPending, "handover-pending", http.StatusServiceUnavailable, OutcomeNotRun, defaultRetryAfter, ExitFailure, "A handover of an earlier process, which lacks new flows, may still be used by a later one; the agent takes no new flows."},

	{PacketMalformed, "packet-malformed", 0, "", 0, ExitFailure, "A datagram is not a QUIC packet."},
	{PacketUnsteerable, "packet-unsteerable", 0, "", 0, ExitFailure, "A packet's connection ID fails its tag."},
	{PacketWrongTarget, "packet-wrong-target", 0, "", 0, ExitFailure, "A packet belongs to another service or backend server."},
	{TunnelMalformed, "tunnel-malformed", 0, "", 0, ExitFailure, "A tunnel header does not parse."},
	{TunnelTag, "tunnel-tag", 0, "", 0, ExitFailure, "A tunnel header fails its tag: the sender lacks a key of the ring."},
	{PacketDomainOut, "packet-domain-out", 0, "", 0, ExitFailure, "A packet's failure domain has been taken out."},
	{PacketNoAgent, "packet-no-agent", 0, "", 0, ExitFailure, "No agent is a candidate for a new flow."},
	{PacketIsolated, "packet-isolated", 0, "", 0, ExitFailure, "The balancer is isolated and forwards nothing."},
	{PacketNoRoute, "packet-no-route", 0, OutcomeNotRun, 0, ExitFailure, "The configuration has no route to the packet's address."},
	{PacketNoHolder, "packet-no-holder", 0, OutcomeUnknown, 0, ExitFailure, "No agent holds the packet's flow."},
	{PacketFlowLost, "packet-flow-lost", 0, OutcomeUnknown, 0, ExitFailure, "The backend server no longer holds the packet's flow."},
	{PacketForged, "packet-forged", 0, "", 0, ExitFailure, "A packet's type is not allowed from its source, such as an answer that a caller sends."},
	{LinkFull, "link-full", 0, OutcomeNotRun, 0, ExitFailure, "The balancer's link can't carry the data of a new flow in time, or is so full that the flow of a packet has to wait."},

	{PlatformDown, "platform-down", http.StatusBadGateway, "", defaultRetryAfter, ExitPlatform, "The platform cannot be reached or fails."},
	{PlatformLimited, "platform-limited", http.StatusTooManyRequests, "", defaultRetryAfter, ExitPlatform, "The platform refused a call because of its rate limit."},
	{VersionConflict, "version-conflict", http.StatusPreconditionFailed, "", 0, ExitConflict, "A conditional update lost against another writer."},
	{OutcomeUnread, "outcome-unread", http.StatusBadGateway, "", 0, ExitPlatform, "An update's answer was lost and could not be read back."},
	{NotFound, "not-found", http.StatusNotFound, "", 0, ExitFailure, "The object does not exist."},
	{ConfigInvalid, "config-invalid", http.StatusBadRequest, "", 0, ExitUsage, "A configuration fails its checks."},
	{ConfigOlder, "config-older", 0, "", 0, ExitConflict, "A configuration is older than the one in force and is refused."},
	{PeerUnauthorized, "peer-unauthorized", 0, "", 0, ExitPlatform, "A peer holds no key of the ring."},
	{PeerMalformed, "peer-malformed", 0, "", 0, ExitFailure, "A peer message does not parse."},
	{PeerDown, "peer-down", 0, "", 0, ExitPlatform, "A peer cannot be reached."},
	{KeyRingInvalid, "key-ring-invalid", 0, "", 0, ExitUsage, "The key ring does not parse."},
	{NotInForce, "not-in-force", 0, "", 0, ExitLagging, "A generation is not in force everywhere within the time asked for."},
	{CertificateFailed, "certificate-failed", 0, "", 0, ExitUsage, "A TLS certificate or key cannot be loaded."},
	{HistoryGone, "history-gone", http.StatusGone, "", 0, ExitPlatform, "The platform no longer holds the changes since a revision; everything is listed again."},
	{ReportStale, "report-stale", http.StatusConflict, "", 0, ExitFailure, "A report of a backend server is older than the one known."},
	{ReportMalformed, "report-malformed", http.StatusBadRequest, "", 0, ExitFailure, "A report doesn't parse or is for another backend server."},
	{HandoverUnusable, "handover-unusable", 0, "", 0, ExitFailure, "A handover of an agent's flows is too old or too large, or of another service or run of the backend server."},

	{SheetInvalid, "sheet-invalid", 0, "", 0, ExitUsage, "A sheet has faults, which are listed by line and column."},
	{SheetStale, "sheet-stale", 0, "", 0, ExitConflict, "A sheet was made on an older base than what is accepted now."},
	{SettingInvalid, "setting-invalid", 0, "", 0, ExitUsage, "A setting is missing, malformed or contradicts another."},
	{ServiceDown, "service-down", 0, "", 0, ExitFailure, "A service has no backend server that takes requests."},
	{PromiseBroken, "promise-broken", 0, "", 0, ExitFailure, "A run violated a promise of the design."},
	{ReportFailed, "report-failed", 0, "", 0, ExitFailure, "A report could not be written."},

	{Internal, "internal", http.StatusInternalServerError, OutcomeUnknown, 0, ExitFailure, "An unexpected error."},
}

var byKind = indexByKind(table)

func indexByKind(rows []Definition) map[Kind]Definition {
	m := make(map[Kind]Definition, len(rows))
	for _, row := range rows {
		m[row.Kind] = row
	}
	return m
}

// Table returns a copy of all rows, ordered by kind.
func Table() []Definition {
	return append([]Definition(nil), table...)
}

// Definition returns the row of k, or the row of Internal if k is not listed.
func (k Kind) Definition() Definition {
	if row, ok := byKind[k]; ok {
		return row
	}
	return byKind[Internal]
}

// KindByName returns the kind with a stable name, or Internal if there is none.
func KindByName(name string) Kind {
	for _, row := range table {
		if row.Name == name {
			return row.Kind
		}
	}
	return Internal
}

// String returns the stable name of k.
func (k Kind) String() string { return k.Definition().Name }

// Error is an error with a kind. errors.Is and errors.As reach its cause.
type Error struct {
	Kind  Kind
	cause error
}

// New returns an error of kind k with a message.
func New(k Kind, msg string) error {
	return &Error{Kind: k, cause: eris.New(msg)}
}

// Errorf returns an error of kind k with a formatted message.
func Errorf(k Kind, format string, args ...any) error {
	return &Error{Kind: k, cause: eris.Errorf(format, args...)}
}

// Wrap returns an error of kind k that wraps err, or nil if err is nil.
func Wrap(err error, k Kind, msg string) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, cause: eris.Wrap(err, msg)}
}

// Error implements error.
func (e *Error) Error() string { return e.Kind.String() + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the kind of the outermost Error in err's chain, or Internal if
// there is none. err must not be nil.
func Of(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is not nil and its kind (see Of) is k.
func Is(err error, k Kind) bool {
	return err != nil && Of(err) == k
}

// ExitCode returns the exit code of a program that ends with err, 0 for nil.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	return Of(err).Definition().ExitCode
}
