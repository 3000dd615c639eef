package event

import "github.com/apex/log"

// Definition describes an event for the log and for docs/EVENTS.md.
type Definition struct {
	ID          ID
	Level       log.Level
	RateLimited bool   // written at most once per 10 s for each error kind
	Message     string // fixed text of the log line
	Action      string // what an operator should do
}

// Events of all programs.
const (
	Started           ID = 1000
	Stopping          ID = 1001
	Stopped           ID = 1002
	SettingRefused    ID = 1003
	KeyRingReloaded   ID = 1004
	CertificateLoaded ID = 1005
	ReloadFailed      ID = 1006
	SettingsReloaded  ID = 1007
	HandlerPanicked   ID = 1008
	LinkRateUnknown   ID = 1009
	LinkRateRaised    ID = 1010
)

// Events of the control path.
const (
	GenerationInForce    ID = 1100
	GenerationRefused    ID = 1101
	PlatformLost         ID = 1102
	PlatformBack         ID = 1103
	PeerRefused          ID = 1104
	PeerLost             ID = 1105
	MemberChanged        ID = 1106
	ClockOffsetExceeded  ID = 1107
	Isolated             ID = 1108
	IsolationOver        ID = 1109
	AnnouncementFailed   ID = 1110
	PeerMessageRefused   ID = 1111
	PlannedChangeActive  ID = 1112
	ViewChanged          ID = 1113
	StoredObjectRefused  ID = 1114
	Announced            ID = 1115
	ViewSourceChanged    ID = 1116
	ViewOutdated         ID = 1117
	StoreEraChanged      ID = 1118
	StoreResponseRefused ID = 1119
	RouteLimitsReplaced  ID = 1120
)

// Events of packet flows, at balancers and agents.
const (
	FlowOffered              ID = 1500
	FlowPlaced               ID = 1501
	FlowPassedOn             ID = 1502
	FlowReset                ID = 1503
	FlowDropped              ID = 1504
	FlowAnswered             ID = 1505
	BackendReported          ID = 1506
	ReportRefused            ID = 1507
	FlowsLost                ID = 1508
	DomainEvacuated          ID = 1509
	DomainRestored           ID = 1510
	LogLinesDropped          ID = 1511
	PacketRefused            ID = 1512
	RequestReceived          ID = 1513
	NewFlowAcceptanceChanged ID = 1514
	PacketKept               ID = 1515
	PacketOffered            ID = 1516
	RequestUnanswered        ID = 1517
	HandoverWritten          ID = 1518
	HandoverTakenOver        ID = 1519
	NewFlowsRejected         ID = 1520
	LearningChanged          ID = 1521
	HandoversExcluded        ID = 1522
)

// Events of the balancer.
const (
	PacketDropped   ID = 1200
	TunnelReopened  ID = 1201
	ListenerChanged ID = 1202
)

// Events of the agent.
const (
	ColdStart         ID = 1300
	WarmedUp          ID = 1301
	Leaving           ID = 1302
	DomainOutActive   ID = 1303
	Fenced            ID = 1304
	RequestRefused    ID = 1305
	RelayFailed       ID = 1306
	BackendConnFailed ID = 1307
)

// Events of operators' commands.
const (
	ChangeAccepted ID = 1400
	ChangeReadBack ID = 1401
	ChangeConflict ID = 1402
)

var catalogue = []Definition{
	{Started, log.InfoLevel, false, "process started", "None."},
	{Stopping, log.InfoLevel, false, "graceful shutdown started", "None."},
	{Stopped, log.InfoLevel, false, "process stopped", "None."},
	{SettingRefused, log.ErrorLevel, false, "setting refused", "Correct the setting that the message names."},
	{KeyRingReloaded, log.InfoLevel, false, "key ring reloaded", "None."},
	{CertificateLoaded, log.InfoLevel, false, "certificate loaded", "None."},
	{ReloadFailed, log.ErrorLevel, true, "reload failed, previous value stays in use", "Correct the file that the message names."},
	{SettingsReloaded, log.InfoLevel, false, "settings reloaded", "None."},
	{HandlerPanicked, log.ErrorLevel, true, "handling of a message or call panicked", "Report the stack: it is a fault of the program. Only that message or call was lost."},
	{LinkRateUnknown, log.WarnLevel, false, "rate of the link unknown, link is not protected from overload", "See OPERATIONS.md, link of a balancer full: set the rate if the link is below 100 Mbit/s."},
	{LinkRateRaised, log.WarnLevel, false, "more received than the rate of the link allows, higher rate used instead", "Correct the rate of the link in the settings; see OPERATIONS.md, link of a balancer full."},

	{GenerationInForce, log.InfoLevel, false, "configuration generation in force", "None."},
	{GenerationRefused, log.WarnLevel, true, "configuration generation refused", "Look for an object restored to an older state in the platform."},
	{PlatformLost, log.WarnLevel, true, "platform not reachable", "See OPERATIONS.md, platform outage."},
	{PlatformBack, log.InfoLevel, false, "platform reachable again", "None."},
	{PeerRefused, log.WarnLevel, true, "peer without a valid key refused", "Compare the key rings of both processes."},
	{PeerLost, log.WarnLevel, true, "peer not reachable", "None, unless it lasts: check the peer's host."},
	{MemberChanged, log.InfoLevel, false, "member changed state", "None."},
	{ClockOffsetExceeded, log.WarnLevel, true, "clock differs from peers by more than 1 s", "Correct the host's clock: planned changes depend on it."},
	{Isolated, log.ErrorLevel, false, "isolated from the platform and from peers", "See OPERATIONS.md, isolated process."},
	{IsolationOver, log.InfoLevel, false, "no longer isolated", "None."},
	{AnnouncementFailed, log.WarnLevel, true, "announcement to the platform failed", "None while the platform is down."},
	{PeerMessageRefused, log.WarnLevel, true, "peer message refused", "Compare the versions of both processes."},
	{PlannedChangeActive, log.InfoLevel, false, "planned change in force", "None."},
	{ViewChanged, log.InfoLevel, false, "view changed", "None."},
	{StoredObjectRefused, log.WarnLevel, true, "stored object refused", "Look for another writer of the object that the message names."},
	{Announced, log.InfoLevel, false, "announcement stored", "None."},
	{ViewSourceChanged, log.InfoLevel, false, "view source changed", "None, unless there is none for long: look for hosts that the store refuses."},
	{ViewOutdated, log.InfoLevel, false, "view outdated, calling the platform", "None, unless it is frequent: look for peers that are frozen, or that the platform refuses."},
	{StoreEraChanged, log.WarnLevel, false, "platform restored from an older copy", "See OPERATIONS.md, platform restored from a copy."},
	{StoreResponseRefused, log.WarnLevel, true, "response of the platform refused", "See OPERATIONS.md, platform restored from a copy."},
	{RouteLimitsReplaced, log.WarnLevel, false, "routes with contradictory limits, defaults used", "Correct the timeout or the objective of the routes; see OPERATIONS.md, check of a configuration."},

	{PacketDropped, log.WarnLevel, true, "packet dropped", "See ERRORS.md for the kind."},
	{TunnelReopened, log.WarnLevel, true, "tunnel socket reopened", "Look for a device that lost the UDP flow."},
	{ListenerChanged, log.InfoLevel, false, "service address opened or closed", "None."},

	{ColdStart, log.WarnLevel, true, "backend server is in a cold start", "None, unless it repeats: check the backend server."},
	{WarmedUp, log.InfoLevel, true, "backend server is warm", "None."},
	{Leaving, log.InfoLevel, false, "backend server is leaving", "None."},
	{DomainOutActive, log.InfoLevel, false, "failure domain is out, closing flows", "None."},
	{Fenced, log.WarnLevel, false, "process was paused longer than its lease", "Look for the cause of the pause on the host."},
	{RequestRefused, log.InfoLevel, true, "request refused", "See ERRORS.md for the kind."},
	{RelayFailed, log.WarnLevel, true, "relay to a peer failed", "None, unless it lasts: check the peer."},
	{BackendConnFailed, log.WarnLevel, true, "connection to the backend server failed", "Check the backend server."},

	{ChangeAccepted, log.InfoLevel, false, "change accepted", "None."},
	{ChangeReadBack, log.WarnLevel, false, "answer lost, change found accepted by reading back", "None."},
	{ChangeConflict, log.WarnLevel, false, "change refused because of another operator's change", "Read the difference, then apply again."},

	{FlowOffered, log.InfoLevel, false, "new flow sent to an agent", "None."},
	{FlowPlaced, log.InfoLevel, false, "new flow delivered to the backend server", "None."},
	{FlowPassedOn, log.InfoLevel, false, "packet passed on to another agent", "None, unless it lasts: see the reason."},
	{PacketKept, log.InfoLevel, true, "packet kept until the agent of its flow is known", "None, unless it lasts: look for agents that don't answer."},
	{FlowReset, log.InfoLevel, false, "flow reset", "See ERRORS.md for the kind."},
	{FlowDropped, log.InfoLevel, true, "packet of a flow dropped", "See ERRORS.md for the kind."},
	{FlowAnswered, log.InfoLevel, false, "request answered", "None."},
	{BackendReported, log.InfoLevel, false, "backend server reported a change", "None."},
	{ReportRefused, log.WarnLevel, true, "report of a backend server refused", "Look for a second sender of reports."},
	{FlowsLost, log.WarnLevel, false, "backend server lost its flows", "Check why the backend server started again."},
	{DomainEvacuated, log.InfoLevel, false, "failure domain evacuated", "None."},
	{DomainRestored, log.InfoLevel, false, "failure domain back in service", "None."},
	{LogLinesDropped, log.WarnLevel, false, "log lines dropped", "Read the log faster, or look for the cause of the load."},
	{PacketRefused, log.WarnLevel, true, "packet refused", "See ERRORS.md for the kind."},
	{RequestReceived, log.InfoLevel, false, "request received", "None."},
	{NewFlowAcceptanceChanged, log.InfoLevel, false, "agent's acceptance of new flows changed", "See ERRORS.md for the reason."},
	{PacketOffered, log.InfoLevel, false, "packet of an unknown flow offered to the backend server", "None, unless it lasts: look for the agent of the flow."},
	{RequestUnanswered, log.WarnLevel, false, "delivered request has no answer and no longer counts as in progress", "Check whether the backend server hangs."},
	{HandoverWritten, log.InfoLevel, false, "flows written for the next process of the agent", "None; with an error the next process learns the flows from packets."},
	{HandoverTakenOver, log.InfoLevel, false, "flows of the earlier process taken over", "None; with an error the agent learns the flows from packets."},
	{NewFlowsRejected, log.WarnLevel, true, "new flows rejected because the link is full", "See OPERATIONS.md, link of a balancer full."},
	{LearningChanged, log.InfoLevel, false, "agent began or ceased to learn flows from packets", "None, unless flows are reset after it: see the reason."},
	{HandoversExcluded, log.InfoLevel, false, "no earlier handover can deny new flows any more", "None."},
}

var byID = indexByID(catalogue)

func indexByID(defs []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(defs))
	for _, def := range defs {
		m[def.ID] = def
	}
	return m
}

// Catalogue returns a copy of all definitions, in the order of docs/EVENTS.md.
func Catalogue() []Definition {
	return append([]Definition(nil), catalogue...)
}

// Lookup returns the definition of id, and whether there is one.
func Lookup(id ID) (Definition, bool) {
	def, ok := byID[id]
	return def, ok
}
