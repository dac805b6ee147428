// Package checker reads the settings of one host from an INI file and validates
// all of them in one pass: every problem, unknown names included, is reported with
// its file and line, so that one run shows everything that must be fixed.
//
// Settings and MemberSettings are the structs that define and document all
// options. Their tags give each option's section and key, its default, the rule
// that its values must satisfy, and its description. docs/SETTINGS.md is generated
// from them.
package checker

import "github.com/jackdawgate/jackdawgate/timer"

// Settings holds all options of a host. Durations are written with a unit, such as
// "250ms", "5s" or "2m".
type Settings struct {
	Host    HostSettings    `section:"host"`
	Store   StoreSettings   `section:"store"`
	TLS     TLSSettings     `section:"tls"`
	Admin   AdminSettings   `section:"admin"`
	Callers CallerSettings  `section:"callers"`
	Calls   CallSettings    `section:"calls"`
	Limits  LimitSettings   `section:"limits"`
	Batch   BatchSettings   `section:"batch"`
	Policy  PolicySettings  `section:"policy"`
	Log     LogSettings     `section:"log"`
	Control ControlSettings `section:"control"`
}

// HostSettings identifies the host and sets the addresses it listens on.
type HostSettings struct {
	Name          string   `key:"name" check:"name" doc:"Name of the host, unique in the fleet. It stays the same when the host is replaced by a new process."`
	DataCentre    string   `key:"data-centre" check:"name" doc:"Data centre of the host."`
	Region        string   `key:"region" default:"default" check:"name" doc:"Region of the data centre."`
	CallerListen  string   `key:"caller-listen" check:"address" doc:"IP address and port that callers and operators connect to."`
	PeerListen    string   `key:"peer-listen" check:"address" doc:"IP address and port that other hosts connect to."`
	CallerAddress string   `key:"caller-address" default:"" check:"optional-address" doc:"Address told to callers; empty for caller-listen."`
	PeerAddress   string   `key:"peer-address" default:"" check:"optional-address" doc:"Address told to other hosts; empty for peer-listen."`
	Seeds         []string `key:"seeds" default:"" check:"addresses" doc:"Peer addresses of some hosts, separated by commas. A host that starts while the store is out takes the record from them."`
	// MemoryMB and Descriptors are zero if unknown.
	MemoryMB    int `key:"memory-mb" default:"0" check:"any" doc:"Memory that the process may use, in MB; 0 if that is not known: 48 MB then hold unfinished and waiting request bodies."`
	Descriptors int `key:"descriptors" default:"0" check:"any" doc:"How many files and sockets the process may open; 0 if that is not known. The limit that the process starts with applies too."`

	DataFolder string `key:"data-folder" default:"" check:"any" doc:"Folder for bulk data. Empty on hosts that keep nothing."`
}

// StoreSettings sets how the host reaches the platform's key-value service.
type StoreSettings struct {
	Address        string       `key:"address" check:"address" doc:"IP address and port of the store's HTTP API."`
	CallsPerSecond float64      `key:"calls-per-second" default:"20" check:"positive" doc:"Budget of this host on calls to the store; a waiting watch counts as one."`
	Timeout        timer.Millis `key:"timeout" default:"2s" check:"positive" doc:"How long a call to the store may take."`
}

// TLSSettings enables TLS. Files are reloaded when they change.
type TLSSettings struct {
	CallerCertificate string `key:"caller-certificate" default:"" check:"file" doc:"PEM file with the certificate shown to callers. Empty for plain HTTP."`
	CallerKey         string `key:"caller-key" default:"" check:"file" doc:"PEM file with the key of caller-certificate."`
	PeerCertificate   string `key:"peer-certificate" default:"" check:"file" doc:"PEM file with this host's certificate for other hosts; it names the host. Empty for plain connections."`
	PeerKey           string `key:"peer-key" default:"" check:"file" doc:"PEM file with the key of peer-certificate."`
	PeerAuthority     string `key:"peer-authority" default:"" check:"file" doc:"PEM file with the authority that signs all hosts' certificates."`
}

// AdminSettings controls access to the operators' API.
type AdminSettings struct {
	TokenHash string `key:"token-sha256" default:"" check:"sha256" doc:"SHA-256, in hex, of the operators' token. Empty turns the operators' API off."`
}

// CallerSettings limits the resources that callers may use.
type CallerSettings struct {
	BodyBytes   int          `key:"body-bytes" default:"4194304" check:"positive" doc:"Longest request body in bytes."`
	FileBytes   int          `key:"file-bytes" default:"536870912" check:"positive" doc:"Longest uploaded file in bytes."`
	HeaderBytes int          `key:"header-bytes" default:"16384" check:"positive" doc:"Longest request head in bytes."`
	Connections int          `key:"connections" default:"20000" check:"positive" doc:"Most connections of callers at once; fewer if memory or descriptors allow fewer. Idle and stalled ones are closed first."`
	ReadTimeout timer.Millis `key:"read-timeout" default:"15s" check:"positive" doc:"How long a caller may take to send a request."`
	IdleTimeout timer.Millis `key:"idle-timeout" default:"90s" check:"positive" doc:"How long a connection of a caller may be unused."`
	Timeout     timer.Millis `key:"timeout" default:"10m" check:"positive" doc:"Longest time that a request may take."`
	HostsFor    timer.Millis `key:"hosts-for" default:"10s" check:"positive" doc:"How long callers may keep the list of hosts."`
	DrainFor    timer.Millis `key:"drain-for" default:"30s" check:"positive" doc:"How long open streams may go on after the host was told to stop."`
}

// CallSettings limits calls to backend servers.
type CallSettings struct {
	ConnectTimeout   timer.Millis `key:"connect-timeout" default:"1s" check:"positive" doc:"How long connecting to a backend server may take."`
	FirstByteTimeout timer.Millis `key:"first-byte-timeout" default:"60s" check:"positive" doc:"Longest wait for the first byte of an answer."`
	GapTimeout       timer.Millis `key:"gap-timeout" default:"5s" check:"positive" doc:"Longest wait between two bytes of a stream. The connection is not used again."`
	RetryShare       float64      `key:"retry-share" default:"0.1" check:"share" doc:"Retries allowed, as a share of calls."`
	ProbeInterval    timer.Millis `key:"probe-interval" default:"1s" check:"positive" doc:"How often a backend server's load is asked."`
}

// LimitSettings selects how the hosts share the limits of workspaces.
type LimitSettings struct {
	Scheme string `key:"scheme" default:"chosen" check:"chosen|ask-only|grant-only|equal-split" doc:"How hosts share a workspace's limit."`
}

// BatchSettings limits batch jobs.
type BatchSettings struct {
	Retention     timer.Millis `key:"retention" default:"720h" check:"positive" doc:"How long results stay readable after the job ended."`
	CopyBytes     int          `key:"copy-bytes-per-second" default:"8388608" check:"positive" doc:"Pace at which segments of lost hosts are copied again."`
	MaxConcurrent int          `key:"max-concurrent" default:"256" check:"positive" doc:"Most items of one job under way at once."`
	Sync          bool         `key:"sync" default:"true" check:"any" doc:"Write segments through to the disk before they count as kept."`
}

// PolicySettings selects policies. The simple alternatives to the defaults exist
// for comparison.
type PolicySettings struct {
	Route string `key:"route" default:"scored" check:"scored|least-load|round-robin|random" doc:"How a backend server is chosen."`
	Share string `key:"share" default:"yielding" check:"yielding|sharing|fixed-reserve|no-batch" doc:"How batch shares a backend server with online calls."`
}

// LogSettings selects what is logged.
type LogSettings struct {
	Level string `key:"level" default:"info" check:"debug|info|warn|error" doc:"Lowest level that is logged."`
}

// ControlSettings holds the constants of the protocol between hosts. They must be
// the same on all hosts.
type ControlSettings struct {
	ConfirmInterval timer.Millis `key:"confirm-interval" default:"1s" check:"positive" doc:"How often a host asks for its permission to be confirmed."`
	Permission      timer.Millis `key:"permission" default:"5s" check:"positive" doc:"How long a confirmation is good for, from when it was asked."`
	Silence         timer.Millis `key:"silence" default:"4s" check:"positive" doc:"A member that a majority does not hear for this long is removed."`
}
