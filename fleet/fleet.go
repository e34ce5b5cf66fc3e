// Package fleet tracks the entry instances of the system: which ones are registered, which
// ones are alive and which ones a caller should use. It also finds the instances that hold
// and lend the quota tokens of a customer.
//
// Instances register in the platform's store and exchange digests with each other. A
// registered instance may be alive; only a recent digest shows that it is.
package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/dispatch"
	"github.com/jacinthrack/jacinthrack/internal/boottime"
	"github.com/jacinthrack/jacinthrack/peer"
	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/quarantine"
)

// Limits on membership data.
const (
	// LivenessTimeout is how long an instance counts as alive after it was last seen. It
	// covers two lost exchanges and is shorter than the time within which look-ups must stop
	// returning an instance that ended.
	LivenessTimeout = 3 * time.Second
	// lastSeenRetention is the time after an instance was last seen for which it is remembered.
	lastSeenRetention = time.Minute
	// maxDigestSightings is the maximum number of other instances reported in a digest.
	maxDigestSightings = 64
	// maxDigestDemands is the maximum number of servers in a digest that limit their rate.
	maxDigestDemands = 32
	// maxDigestSuspects is the maximum number of suspect requests in a digest.
	maxDigestSuspects = 32
)

// Instance is an entry instance of the system.
type Instance struct {
	Name          string
	Zone          string
	Region        string // "" if unknown
	BootID        uint64 // random number of its process
	PeerAddress   string // for other instances
	CallerAddress string // for callers; identifies the instance
}

// DataPath is the data path of this instance: the source of the data that is sent to other
// instances and the recipient of the data that they send.
type DataPath interface {
	// ConfigAge returns the configuration age, the time since the configuration in force was
	// last confirmed to be the newest one.
	ConfigAge() time.Duration
	// ConfigVersion returns the version of the configuration in force, 0 before the first one.
	ConfigVersion() int64
	// ConfirmConfig records that the configuration in force was the newest one at an instant.
	ConfirmConfig(at boottime.Instant)
	// ConfigOutdated is called when another instance has a newer configuration, of the given
	// version.
	ConfigOutdated(version int64)
	// Isolated reports whether this instance has lost its links to all backend servers.
	Isolated() bool
	// Lend takes up to the given number of a customer's quota tokens for another instance.
	// It returns the tokens lent and the tokens that remain here.
	Lend(customer string, tokens float64) (lent, remaining float64)
	// Ready reports whether the instance accepts requests.
	Ready() bool
	// RateDemands returns this instance's demand for up to count servers that limit their rate.
	RateDemands(count int) []dispatch.RateDemand
	// MergeRateDemands takes the demand of another instance, given by its caller address. delay
	// is an upper bound of the time since that instance sent it.
	MergeRateDemands(instance string, demands []dispatch.RateDemand, delay time.Duration)
	// Suspects returns up to limit suspect requests.
	Suspects(limit int) []quarantine.SuspectReport
	// MergeSuspects merges the suspect requests of another instance. delay is an upper
	// bound of the time since that instance sent them.
	MergeSuspects(reports []quarantine.SuspectReport, delay time.Duration)
}

// View is the membership as one instance sees it. It implements peer.Handler and
// peer.Directory. Its methods are safe for concurrent use.
type View struct {
	self         Instance
	dataPath     DataPath
	maxConfigAge time.Duration // configuration age below which an instance is preferred

	mu                sync.Mutex
	registered        map[string]Instance // by caller address
	sightingByAddress map[string]sighting // by caller address
	// digestSentAt is when a digest was last sent to an instance, by name. Unlike the
	// monotonic clock of package time, a boottime.Instant advances while the machine is
	// suspended; otherwise a reply would seem to have taken less time than it did.
	digestSentAt map[string]boottime.Instant
}

// sighting is the most recent information about another instance.
type sighting struct {
	instance    Instance
	seenAt      time.Time
	ready       bool
	configFresh bool // its configuration age is below maxConfigAge, or not known
	isolated    bool // it has lost its links to all backend servers
}

// New returns a view without other instances. Instances whose configuration age is maxConfigAge
// or more are selected for callers only if there are no others.
func New(self Instance, dataPath DataPath, maxConfigAge time.Duration) *View {
	return &View{self: self, dataPath: dataPath, maxConfigAge: maxConfigAge, registered: make(map[string]Instance), sightingByAddress: make(map[string]sighting), digestSentAt: make(map[string]boottime.Instant)}
}

// SetRegistered replaces the set of registered instances by those that the store lists. It also
// forgets instances that were last seen longer ago than lastSeenRetention.
func (v *View) SetRegistered(instances []Instance) {
	v.mu.Lock()
	defer v.mu.Unlock()
	clear(v.registered)
	for address, s := range v.sightingByAddress {
		if time.Since(s.seenAt) > lastSeenRetention {
			delete(v.sightingByAddress, address)
			delete(v.digestSentAt, s.instance.Name)
		}
	}
	for _, in := range instances {
		if in.CallerAddress != v.self.CallerAddress {
			v.registered[in.CallerAddress] = in
		}
	}
}

// MemberCount returns the number of instances that may be alive, this one included.
func (v *View) MemberCount() int { return len(v.possibleMembers()) }

// possibleMembers returns the instances that may be alive, this one included: the registered ones
// and those that were last seen less than LivenessTimeout ago.
func (v *View) possibleMembers() []Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]Instance, 0, 1+len(v.registered))
	list = append(list, v.self)
	for _, in := range v.registered {
		list = append(list, in)
	}
	for address, s := range v.sightingByAddress {
		if _, ok := v.registered[address]; !ok && time.Since(s.seenAt) < LivenessTimeout {
			list = append(list, s.instance)
		}
	}
	return list
}

// SilentInstances returns the registered instances that have been silent for longer than
// threshold. The silence starts when an instance was last seen or first listed, whichever is
// later. firstListedAt is by caller address. Instances that were never seen and are not in
// firstListedAt are left out.
func (v *View) SilentInstances(firstListedAt map[string]time.Time, threshold time.Duration, now time.Time) []Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	var silent []Instance
	for address, in := range v.registered {
		last := firstListedAt[address]
		if s, ok := v.sightingByAddress[address]; ok && s.seenAt.After(last) {
			last = s.seenAt
		}
		if !last.IsZero() && now.Sub(last) > threshold {
			silent = append(silent, in)
		}
	}
	return silent
}

// maxCarriedLoad is the factor by which the load of instances may grow because isolated ones are left
// out of look-ups. Fewer instances could not carry the traffic of all.
const maxCarriedLoad = 3

// SelectAddresses returns up to limit caller addresses of instances that are alive and ready,
// sorted, for callers in a region. It prefers, in this order, instances of the region with a fresh
// configuration, all with a fresh configuration, all of the region, all. Of the first of these groups
// with enough instances that are not isolated, see maxCarriedLoad, it returns those; if there is none,
// it returns the whole first group that is not empty. This instance is included while it is ready.
func (v *View) SelectAddresses(region string, now time.Time, limit int) []string {
	alive := v.aliveAndReady(now)
	if v.dataPath.Ready() {
		alive = append(alive, sighting{instance: v.self, ready: true, configFresh: v.dataPath.ConfigAge() < v.maxConfigAge, isolated: v.dataPath.Isolated()})
	}
	inRegion := func(s sighting) bool { return s.instance.Region == region }
	groups := []func(sighting) bool{
		func(s sighting) bool { return s.configFresh && inRegion(s) },
		func(s sighting) bool { return s.configFresh },
		inRegion,
		func(sighting) bool { return true },
	}
	var first []string
	for _, accept := range groups {
		group := matchingAddresses(alive, accept)
		connected := matchingAddresses(alive, func(s sighting) bool { return accept(s) && !s.isolated })
		if len(connected) > 0 && len(group) <= maxCarriedLoad*len(connected) {
			return connected[:min(len(connected), limit)]
		}
		if len(first) == 0 {
			first = group
		}
	}
	return first[:min(len(first), limit)]
}

// aliveAndReady returns the other instances that are alive and ready.
func (v *View) aliveAndReady(now time.Time) []sighting {
	v.mu.Lock()
	defer v.mu.Unlock()
	alive := make([]sighting, 0, len(v.sightingByAddress)+1)
	for _, s := range v.sightingByAddress {
		if s.ready && now.Sub(s.seenAt) < LivenessTimeout {
			alive = append(alive, s)
		}
	}
	return alive
}

// matchingAddresses returns the sorted caller addresses of the instances that the filter accepts.
func matchingAddresses(alive []sighting, accept func(sighting) bool) []string {
	var addresses []string
	for _, s := range alive {
		if accept(s) {
			addresses = append(addresses, s.instance.CallerAddress)
		}
	}
	sort.Strings(addresses)
	return addresses
}

// Instances implements peer.Directory. It returns the registered instances, sorted by peer
// address.
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

// Digest implements peer.Handler. Only replies within the zone contain sightings.
func (v *View) Digest(to peer.Recipient) *peerpb.Digest {
	if !to.IsReply {
		v.mu.Lock()
		v.digestSentAt[to.Name] = boottime.Now()
		v.mu.Unlock()
	}
	// The age is read before the version: if a newer configuration arrives in between, the
	// older version must not be sent with the age of the newer one.
	// It is rounded up, so that the recipient does not assume a lower age.
	configAgeMs := uint32(min(v.dataPath.ConfigAge(), time.Hour).Milliseconds()) + 1
	version := v.dataPath.ConfigVersion()
	d := &peerpb.Digest{Sender: v.sender(), PlatformAgeMs: &configAgeMs, Config: &peerpb.ConfigVersion{Generation: uint64(version)}}
	for _, report := range v.dataPath.Suspects(maxDigestSuspects) {
		d.Quarantined = append(d.Quarantined, &peerpb.Quarantine{
			Fingerprint: uint64(report.Fingerprint), Deaths: uint32(report.Crashes), AgeMs: uint32(report.Age.Milliseconds()), ServerHashes: report.ServerHashes,
		})
	}
	for _, demand := range v.dataPath.RateDemands(maxDigestDemands) {
		d.ServerDemands = append(d.ServerDemands, encodeRateDemand(demand))
	}
	if to.IsReply && to.Zone == v.self.Zone {
		d.Sightings = v.sightings(time.Now())
	}
	return d
}

// sender describes this instance as the sender of a digest.
func (v *View) sender() *peerpb.Sender {
	return &peerpb.Sender{
		Name: v.self.Name, Zone: v.self.Zone, BootId: v.self.BootID,
		PeerAddress: v.self.PeerAddress, CallerAddress: v.self.CallerAddress, Draining: !v.dataPath.Ready(),
		Isolated: v.dataPath.Isolated(),
	}
}

// sightings returns the other instances that are alive. The age of a sighting that is passed on
// from instance to instance is the sum of the ages along the path.
func (v *View) sightings(now time.Time) []*peerpb.Sighting {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []*peerpb.Sighting
	for _, s := range v.sightingByAddress {
		age := now.Sub(s.seenAt)
		if age > LivenessTimeout || len(list) >= maxDigestSightings {
			continue
		}
		list = append(list, &peerpb.Sighting{AgeMs: uint32(age.Milliseconds()), Instance: &peerpb.Sender{
			Name: s.instance.Name, Zone: s.instance.Zone, BootId: s.instance.BootID,
			PeerAddress: s.instance.PeerAddress, CallerAddress: s.instance.CallerAddress, Draining: !s.ready,
			Isolated: s.isolated,
		}})
	}
	return list
}

// MergeReply implements peer.Handler. Sightings do not contain a configuration
// age: the configurations of these instances are assumed to be fresh.
func (v *View) MergeReply(_ context.Context, d *peerpb.Digest, roundTrip time.Duration) {
	v.mergeDigest(d, roundTrip)
	v.compareConfig(d)
	for _, s := range d.GetSightings() {
		v.recordSighting(s.GetInstance(), time.Duration(s.GetAgeMs())*time.Millisecond+roundTrip, true)
	}
}

// compareConfig compares the configuration in a reply with the one in force here. If the versions
// are equal, the confirmation of the sender holds here, too: what was the newest version there
// is the newest one here. It counts from the time of the request, the earliest time at which the
// sender can have stated the age.
func (v *View) compareConfig(d *peerpb.Digest) {
	version := v.dataPath.ConfigVersion()
	switch peerVersion := int64(d.GetConfig().GetGeneration()); {
	case peerVersion > version:
		v.dataPath.ConfigOutdated(peerVersion)
	case peerVersion == version && version > 0:
		v.mu.Lock()
		sentAt := v.digestSentAt[d.GetSender().GetName()]
		v.mu.Unlock()
		if sentAt > 0 {
			v.dataPath.ConfirmConfig(sentAt.Add(-time.Duration(d.GetPlatformAgeMs()) * time.Millisecond))
		}
	}
}

// MergeRequest implements peer.Handler. The digest may have been delayed for as long as its
// sender waits for the reply.
func (v *View) MergeRequest(d *peerpb.Digest) { v.mergeDigest(d, peer.ExchangeTimeout) }

// mergeDigest merges what requests and replies have in common: the last-seen time of the sender,
// the suspect requests and the demand for servers that limit their rate. delay is an upper bound of
// the time since the digest was sent.
func (v *View) mergeDigest(d *peerpb.Digest, delay time.Duration) {
	configAge := time.Duration(d.GetPlatformAgeMs())*time.Millisecond + delay
	v.recordSighting(d.GetSender(), delay, configAge < v.maxConfigAge)
	reports := make([]quarantine.SuspectReport, 0, len(d.GetQuarantined()))
	for _, q := range d.GetQuarantined() {
		reports = append(reports, quarantine.SuspectReport{
			Fingerprint: quarantine.Fingerprint(q.GetFingerprint()), Crashes: int(q.GetDeaths()),
			Age: time.Duration(q.GetAgeMs()) * time.Millisecond, ServerHashes: q.GetServerHashes(),
		})
	}
	if len(reports) > 0 {
		v.dataPath.MergeSuspects(reports, delay)
	}
	demands := make([]dispatch.RateDemand, 0, len(d.GetServerDemands()))
	for _, demand := range d.GetServerDemands() {
		demands = append(demands, decodeRateDemand(demand))
	}
	v.dataPath.MergeRateDemands(d.GetSender().GetCallerAddress(), demands, delay)
}

// recordSighting records that an instance was seen the given time ago, unless there is more recent
// information about it.
func (v *View) recordSighting(sender *peerpb.Sender, age time.Duration, configFresh bool) {
	if sender.GetCallerAddress() == "" || sender.GetCallerAddress() == v.self.CallerAddress {
		return
	}
	at := time.Now().Add(-age)
	v.mu.Lock()
	defer v.mu.Unlock()
	if previous, ok := v.sightingByAddress[sender.GetCallerAddress()]; ok && previous.seenAt.After(at) {
		return
	}
	in := Instance{
		Name: sender.GetName(), Zone: sender.GetZone(), BootID: sender.GetBootId(),
		PeerAddress: sender.GetPeerAddress(), CallerAddress: sender.GetCallerAddress(),
	}
	in.Region = v.regionOf(in)
	v.sightingByAddress[in.CallerAddress] = sighting{instance: in, seenAt: at, ready: !sender.GetDraining(), configFresh: configFresh, isolated: sender.GetIsolated()}
}

// regionOf returns the region of an instance, which digests do not contain: that of its
// registration, or this instance's if it is in the same zone, or "". The lock must be held.
func (v *View) regionOf(in Instance) string {
	if registered, ok := v.registered[in.CallerAddress]; ok {
		return registered.Region
	}
	if in.Zone == v.self.Zone {
		return v.self.Region
	}
	return ""
}

// HandleAnnouncement implements peer.Handler. It ignores announcements and returns no confirmation:
// instances read the announced data from the store.
func (v *View) HandleAnnouncement(context.Context, *peerpb.Announcement) *peerpb.Confirmation {
	return nil
}

// Section implements peer.Handler. It returns nothing: instances read configurations from the
// store.
func (v *View) Section([]byte) ([]byte, bool) { return nil, false }

// State implements peer.Handler. It returns an empty state: an instance that replaces another
// one reads its state from the store.
func (v *View) State() *peerpb.StateReply { return &peerpb.StateReply{} }
