package checker

import (
	"fmt"
	"os"

	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
)

// MemberSettings holds all options of a host that keeps its durable state in a
// platform's store. The file format is the same as for Settings.
type MemberSettings struct {
	Host   MemberHost   `section:"host"`
	Listen MemberListen `section:"listen"`
	Store  MemberStore  `section:"store"`
	Bounds MemberBounds `section:"bounds"`
	Disk   MemberDisk   `section:"disk"`

	Callers MemberCallers `section:"callers"`
}

// MemberHost identifies the host.
type MemberHost struct {
	Name       string `key:"name" check:"name" doc:"Name of the host, unique in the fleet. It stays the same when its process starts again."`
	DataCentre string `key:"data-centre" check:"name" doc:"Data centre of the host."`
	Region     string `key:"region" default:"default" check:"name" doc:"Region of the data centre."`
	// Zones maps data centres to their regions.
	Zones    map[string]string `key:"zones" default:"" check:"zones" doc:"Region of each data centre, as DATA-CENTRE=REGION, separated by commas. Requests that are restricted to regions reach only servers and hosts in data centres listed here, and in this host's own."`
	MemoryMB int               `key:"memory-mb" default:"0" check:"any" doc:"Memory that the process may use, in MB; 0 for no limit."`
	// Descriptors bounds open files and sockets.
	Descriptors int `key:"descriptors" default:"0" check:"any" doc:"How many files and sockets the process may open; 0 if that is not known. The limit that the process starts with applies too."`
}

// MemberListen sets the addresses that the host listens on. The host does not
// listen for a purpose whose address is empty.
type MemberListen struct {
	Callers   string `key:"callers" default:"" check:"optional-address" doc:"IP address and port for callers."`
	Ready     string `key:"ready" default:"" check:"optional-address" doc:"IP address and port at which the platform asks whether the host is ready."`
	Directory string `key:"directory" default:"" check:"optional-address" doc:"IP address and port at which callers ask where to connect."`
	Peers     string `key:"peers" check:"address" doc:"IP address and port for other hosts, of streams and of datagrams."`
	Metrics   string `key:"metrics" default:"" check:"optional-address" doc:"IP address and port at which metrics are read."`
}

// MemberCallers limits the resources that callers may use.
type MemberCallers struct {
	Connections int `key:"connections" default:"0" check:"any" doc:"Most connections of callers at once; 0 for what memory and descriptors allow. Idle and stalled ones are closed first."`
	BodyRate    int `key:"body-rate" default:"1024" check:"any" doc:"Bytes of a request body that must arrive in a second, on average, from the configuration's idle time-out on; 0 for no minimum."`
}

// MemberStore sets how the host reaches the platform's store.
type MemberStore struct {
	Address  string       `key:"address" check:"address" doc:"IP address and port of the store's HTTP API."`
	LeaseTTL timer.Millis `key:"lease-ttl" default:"6s" check:"positive" doc:"How long the host's entry outlives its last renewal, at least; it grows with the fleet."`
}

// MemberBounds holds the limits that operators require the fleet to keep.
type MemberBounds struct {
	Revoke timer.Millis `key:"revoke" default:"5s" check:"positive" doc:"Within which a withdrawn key stops working on every host."`
	Grace  timer.Millis `key:"grace" default:"8s" check:"positive" doc:"How long the process may run after it was told to stop."`
	Keep   timer.Millis `key:"keep" default:"120s" check:"positive" doc:"How long after its submission a batch job and its results can be read."`
	// A quota applies to every interval of length QuotaWindow. In each of these the
	// fleet may exceed the quota by QuotaShare, a fraction of the quota, plus
	// QuotaSlack, a number of requests.
	QuotaWindow timer.Millis `key:"quota-window" default:"5s" check:"positive" doc:"Over which time a workspace's quota is counted."`
	QuotaShare  float64      `key:"quota-share" default:"0" check:"share" doc:"By which part of a quota the fleet may exceed it in that time, when hosts have not heard of one another."`
	QuotaSlack  int          `key:"quota-slack" default:"0" check:"any" doc:"How many requests the fleet may run beyond that."`
}

// MemberDisk sets where batch jobs are stored.
type MemberDisk struct {
	Folder string `key:"folder" default:"" check:"any" doc:"Folder for batch jobs; empty on hosts without a disk."`
	Losses int    `key:"losses" default:"1" check:"any" doc:"How many disks may be lost at once without losing a batch job."`
	// CompactAfter is in bytes.
	CompactAfter int `key:"compact-after" default:"4194304" check:"positive" doc:"How many bytes the log of a group of batch jobs grows, at least, before it is compacted."`
}

// MemberOptions returns the options of MemberSettings in the order of the struct.
func MemberOptions() []Option { return options(&MemberSettings{}) }

// checkZones reports a table of data centres that contradicts the host's own region.
func (v *validator) checkZones(h MemberHost) {
	if r, ok := h.Zones[h.DataCentre]; ok && r != h.Region {
		v.report("host", "zones", fmt.Sprintf("%q is in region %q here and in %q by the setting region", h.DataCentre, r, h.Region), "give the host's data centre the same region in both")
	}
}

// LoadMember reads and validates the file at path. If the file can be read but is
// invalid, the error is an *InvalidError.
func LoadMember(path string) (MemberSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return MemberSettings{}, eris.Wrap(err, "read settings")
	}
	var s MemberSettings
	if err := parseSections(path, data, &s, func(v *validator) { v.checkZones(s.Host) }); err != nil {
		return MemberSettings{}, err
	}
	return s, nil
}
