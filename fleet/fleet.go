// Package fleet knows which instances of the system there are, which of them are
// alive and which ones a caller should use.
//
// Instances are registered in the platform's store and exchange digests with each
// other. The store says who may be alive; only a recent digest says who is.
package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/boottime"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/quarantine"
)

// Times of the membership.
const (
	// LivenessTimeout is how long an instance counts as alive after it was heard. It
	// covers two lost exchanges and stays below the time in which the directory
	// must drop an instance that ended.
	LivenessTimeout = 3 * time.Second
	// forgetAfter is the silence after which nothing is kept of an instance.
	forgetAfter = time.Minute
	// sightingLimit bounds the instances that a digest passes on.
	sightingLimit = 64
	// suspectLimit bounds the suspected requests in a digest.
	suspectLimit = 32
)

// Instance is an instance of the system.
type Instance struct {
	Name          string
	Zone          string
	Region        string
	BootID        uint64
	PeerAddress   string
	CallerAddress string
}

// DataPath is what the data path tells other instances and takes from them.
type DataPath interface {
	// Age returns the age of the configuration.
	ConfigAge() time.Duration
	// Version returns the version of the configuration, 0 without one.
	ConfigVersion() int64
	// Confirm records that the configuration was the newest one at an instant.
	ConfirmConfig(at boottime.Instant)
	// ConfigOutdated is called when another instance has a newer configuration.
	ConfigOutdated()
	// Lend gives tokens of a customer's quota away.
	Lend(customer string, tokens float64) (lent, left float64)
	// Ready reports whether the instance takes requests.
	Ready() bool
	Suspects(limit int) []quarantine.SuspectReport
	MergeSuspects(entries []quarantine.SuspectReport, delay time.Duration)
}

// View is the membership as one instance sees it. It implements peer.Knowledge and
// peer.Directory.
type View struct {
	self      Instance
	knowledge DataPath
	maxAge    time.Duration // of the configuration of an instance to be preferred

	mu         sync.Mutex
	registered map[string]Instance // by caller address
	heard      map[string]sighting // by caller address
	// asked holds when a digest was last sent to an instance by name. A suspended
	// process must not take the reply for a quick one, so it is no monotonic time.
	asked map[string]boottime.Instant
}

// sighting is the last news of an instance.
type sighting struct {
	instance Instance
	at       time.Time
	ready    bool
	fresh    bool // its configuration is recent
}

// New returns a view that knows only the instance itself. Instances whose
// configuration is older than maxAge are named to callers only if there is no other.
func New(self Instance, k DataPath, maxAge time.Duration) *View {
	return &View{self: self, knowledge: k, maxAge: maxAge, registered: make(map[string]Instance), heard: make(map[string]sighting), asked: make(map[string]boottime.Instant)}
}

// SetRegistered takes the instances that the store lists.
func (v *View) SetRegistered(instances []Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.registered)
	for address, s := range v.heard {
		if time.Since(s.at) > forgetAfter {
			delete(v.heard, address)
			delete(v.asked, s.instance.Name)
		}
	}
	for _, in := range instances {
		if in.CallerAddress != v.self.CallerAddress {
			v.registered[in.CallerAddress] = in
		}
	}
}

// MemberCount returns the number of instances that may be alive, this one included.
func (v *View) MemberCount() int { return len(v.possible()) }

// possible returns the instances that may be alive, this one included: those in the
// store and those that were heard lately.
func (v *View) possible() []Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Instance, 0, 1+len(v.registered))
	list = append(list, v.self)
	for _, in := range v.registered {
		list = append(list, in)
	}
	for address, s := range v.heard {
		if _, ok := v.registered[address]; !ok && time.Since(s.at) < LivenessTimeout {
			list = append(list, s.instance)
		}
	}
	return list
}

// SilentInstances returns the registered instances that have not been heard for a time, which
// starts when the view first knew them.
func (v *View) SilentInstances(since map[string]time.Time, after time.Duration, now time.Time) []Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	var silent []Instance
	for address, in := range v.registered {
		last := since[address]
		if s, ok := v.heard[address]; ok && s.at.After(last) {
			last = s.at
		}
		if !last.IsZero() && now.Sub(last) > after {
			silent = append(silent, in)
		}
	}
	return silent
}

// SelectAddresses returns the caller addresses for callers in a region: those of the region
// if there are any, else all. self is named while it is ready.
func (v *View) SelectAddresses(region string, now time.Time, most int) []string {
	v.mu.Lock()
	alive := make([]sighting, 0, len(v.heard)+1)
	for _, s := range v.heard {
		if s.ready && now.Sub(s.at) < LivenessTimeout {
			alive = append(alive, s)
		}
	}
	v.mu.Unlock()
	if v.knowledge.Ready() {
		alive = append(alive, sighting{instance: v.self, ready: true, fresh: v.knowledge.ConfigAge() < v.maxAge})
	}
	addresses := pick(alive, func(s sighting) bool { return s.fresh && s.instance.Region == region })
	if len(addresses) == 0 {
		addresses = pick(alive, func(s sighting) bool { return s.fresh })
	}
	if len(addresses) == 0 {
		addresses = pick(alive, func(s sighting) bool { return s.instance.Region == region })
	}
	if len(addresses) == 0 {
		addresses = pick(alive, func(sighting) bool { return true })
	}
	return addresses[:min(len(addresses), most)]
}

func pick(alive []sighting, keep func(sighting) bool) []string {
	var addresses []string
	for _, s := range alive {
		if keep(s) {
			addresses = append(addresses, s.instance.CallerAddress)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// Instances implements peer.Directory.
func (v *View) Instances() []peer.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]peer.Instance, 0, len(v.registered))
	for _, in := range v.registered {
		list = append(list, peer.Instance{Name: in.Name, Zone: in.Zone, Address: in.PeerAddress})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	return list
}

// Digest implements peer.Knowledge.
func (v *View) Digest(to peer.Recipient) *peerpb.Digest {
	if !to.Reply {
		v.mu.Lock()
		v.asked[to.Name] = boottime.Now()
		v.mu.Unlock()
	}
	// The age is read first: an older version must not get the age of a newer one
	// that comes in between.
	age := uint32(min(v.knowledge.ConfigAge(), time.Hour).Milliseconds()) + 1
	version := v.knowledge.ConfigVersion()
	d := &peerpb.Digest{Sender: v.sender(), PlatformAgeMs: &age, Config: &peerpb.ConfigVersion{Generation: uint64(version)}}
	for _, e := range v.knowledge.Suspects(suspectLimit) {
		d.Quarantined = append(d.Quarantined, &peerpb.Quarantine{
			Fingerprint: uint64(e.Fingerprint), Deaths: uint32(e.Crashes), AgeMs: uint32(e.Age.Milliseconds()), ServerHashes: e.ServerHashes,
		})
	}
	if to.Reply && to.Zone == v.self.Zone {
		d.Sightings = v.sightings(time.Now())
	}
	return d
}

func (v *View) sender() *peerpb.Sender {
	return &peerpb.Sender{
		Name: v.self.Name, Zone: v.self.Zone, BootId: v.self.BootID,
		PeerAddress: v.self.PeerAddress, CallerAddress: v.self.CallerAddress, Draining: !v.knowledge.Ready(),
	}
}

// sightings lists what this instance heard itself. Ages add up along the path.
func (v *View) sightings(now time.Time) []*peerpb.Sighting {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []*peerpb.Sighting
	for _, s := range v.heard {
		age := now.Sub(s.at)
		if age > LivenessTimeout || len(list) >= sightingLimit {
			continue
		}
		list = append(list, &peerpb.Sighting{AgeMs: uint32(age.Milliseconds()), Instance: &peerpb.Sender{
			Name: s.instance.Name, Zone: s.instance.Zone, BootId: s.instance.BootID,
			PeerAddress: s.instance.PeerAddress, CallerAddress: s.instance.CallerAddress, Draining: !s.ready,
		}})
	}
	return list
}

// MergeReply implements peer.Knowledge.
func (v *View) MergeReply(_ context.Context, d *peerpb.Digest, roundTrip time.Duration) {
	v.merge(d, roundTrip)
	v.compare(d)
	for _, s := range d.GetSightings() {
		v.hear(s.GetInstance(), time.Duration(s.GetAgeMs())*time.Millisecond+roundTrip, true)
	}
}

// compare takes the age of the sender's configuration if it is the same version: what
// was the newest there was the newest here.
func (v *View) compare(d *peerpb.Digest) {
	version := v.knowledge.ConfigVersion()
	switch theirs := int64(d.GetConfig().GetGeneration()); {
	case theirs > version:
		v.knowledge.ConfigOutdated()
	case theirs == version && version > 0:
		v.mu.Lock()
		asked := v.asked[d.GetSender().GetName()]
		v.mu.Unlock()
		if asked > 0 {
			v.knowledge.ConfirmConfig(asked.Add(-time.Duration(d.GetPlatformAgeMs()) * time.Millisecond))
		}
	}
}

// MergeRequest implements peer.Knowledge. The digest may have been delayed for as
// long as the caller waits for its answer.
func (v *View) MergeRequest(d *peerpb.Digest) { v.merge(d, peer.ExchangeTimeout) }

func (v *View) merge(d *peerpb.Digest, delay time.Duration) {
	age := time.Duration(d.GetPlatformAgeMs())*time.Millisecond + delay
	v.hear(d.GetSender(), delay, age < v.maxAge)
	entries := make([]quarantine.SuspectReport, 0, len(d.GetQuarantined()))
	for _, q := range d.GetQuarantined() {
		entries = append(entries, quarantine.SuspectReport{
			Fingerprint: quarantine.Fingerprint(q.GetFingerprint()), Crashes: int(q.GetDeaths()),
			Age: time.Duration(q.GetAgeMs()) * time.Millisecond, ServerHashes: q.GetServerHashes(),
		})
	}
	if len(entries) > 0 {
		v.knowledge.MergeSuspects(entries, delay)
	}
}

// hear notes news of an instance unless there is newer news.
func (v *View) hear(sender *peerpb.Sender, age time.Duration, fresh bool) {
	if sender.GetCallerAddress() == "" || sender.GetCallerAddress() == v.self.CallerAddress {
		return
	}
	at := time.Now().Add(-age)
	v.mu.Lock()
	defer v.mu.Unlock()
	if known, ok := v.heard[sender.GetCallerAddress()]; ok && known.at.After(at) {
		return
	}
	in := Instance{
		Name: sender.GetName(), Zone: sender.GetZone(), BootID: sender.GetBootId(),
		PeerAddress: sender.GetPeerAddress(), CallerAddress: sender.GetCallerAddress(),
	}
	in.Region = v.regionOf(in)
	v.heard[in.CallerAddress] = sighting{instance: in, at: at, ready: !sender.GetDraining(), fresh: fresh}
}

// regionOf finds the region of an instance, which digests do not carry.
func (v *View) regionOf(in Instance) string {
	if known, ok := v.registered[in.CallerAddress]; ok {
		return known.Region
	}
	if in.Zone == v.self.Zone {
		return v.self.Region
	}
	return ""
}

// Announced implements peer.Knowledge. The store carries all news that is announced
// elsewhere.
func (v *View) Announced(context.Context, *peerpb.Announcement) *peerpb.Confirmation { return nil }

// Section implements peer.Knowledge. Configurations come from the store.
func (v *View) Section([]byte) ([]byte, bool) { return nil, false }

// State implements peer.Knowledge.
func (v *View) State() *peerpb.StateReply { return &peerpb.StateReply{} }
