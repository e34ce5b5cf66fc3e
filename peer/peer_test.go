package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/peer/peerpb"
	"github.com/jacinthrack/jacinthrack/settings"
)

// fakeHandler is a Handler that records the senders of digests and counts announcements.
type fakeHandler struct {
	name, zone string

	mu                   sync.Mutex
	replySenders         []string
	requestSenders       []string
	announcements        int
	withholdConfirmation bool
}

func (k *fakeHandler) Digest(Recipient) *peerpb.Digest {
	return &peerpb.Digest{Sender: &peerpb.Sender{Name: k.name, Zone: k.zone}}
}

func (k *fakeHandler) MergeReply(_ context.Context, d *peerpb.Digest, _ time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replySenders = append(k.replySenders, d.GetSender().GetName())
}

func (k *fakeHandler) MergeRequest(d *peerpb.Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requestSenders = append(k.requestSenders, d.GetSender().GetName())
}

func (k *fakeHandler) HandleAnnouncement(context.Context, *peerpb.Announcement) *peerpb.Confirmation {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.announcements++
	if k.withholdConfirmation {
		return nil
	}
	return &peerpb.Confirmation{Name: k.name}
}

func (k *fakeHandler) Section([]byte) ([]byte, bool)        { return []byte("section"), true }
func (k *fakeHandler) Lend(string, uint32) (uint32, uint32) { return 0, 0 }
func (k *fakeHandler) State() *peerpb.StateReply            { return &peerpb.StateReply{} }

// fakeDirectory lists all instances except its owner.
type fakeDirectory struct {
	owner string
	all   *[]Instance
}

func (d fakeDirectory) Instances() []Instance {
	var others []Instance
	for _, in := range *d.all {
		if in.Name != d.owner {
			others = append(others, in)
		}
	}
	return others
}

// testFleet is a set of started services that list each other in their directories.
type testFleet struct {
	instances []Instance
	services  map[string]*Service
	handlers  map[string]*fakeHandler
}

func newTestFleet(t *testing.T, zones map[string]string, certs map[string]*Certificates) *testFleet {
	t.Helper()
	f := &testFleet{services: map[string]*Service{}, handlers: map[string]*fakeHandler{}}
	for name, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		f.instances = append(f.instances, Instance{Name: name, Zone: zone, Address: listener.Addr().String()})
		f.handlers[name] = &fakeHandler{name: name, zone: zone}
		f.services[name] = NewService(Options{
			Name:      name,
			Zone:      zone,
			Listener:  listener,
			TLS:       certs[name],
			Handler:   f.handlers[name],
			Directory: fakeDirectory{owner: name, all: &f.instances},
			Log:       slog.New(slog.DiscardHandler),
		})
	}
	for _, s := range f.services {
		must.NoError(t, s.Start(t.Context()))
		t.Cleanup(func() { must.NoError(t, s.Stop(context.Background())) })
	}
	return f
}

// announce returns the names of the instances that confirm an announcement.
func (f *testFleet) announce(t *testing.T, from string) []string {
	t.Helper()
	var confirmed []string
	for _, c := range f.services[from].Announce(t.Context(), &peerpb.Announcement{}) {
		confirmed = append(confirmed, c.GetName())
	}
	return confirmed
}

// Guards against announcements that do not reach a zone or an instance, and against
// reported confirmations of instances that did not confirm.
func TestAnnounceReachesEveryInstance(t *testing.T) {
	f := newTestFleet(t, map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}, nil)
	f.handlers["b2"].withholdConfirmation = true
	confirmed := f.announce(t, "a1")
	must.Eq(t, []string{"a2", "b1", "c1"}, confirmed)
	for _, name := range []string{"a2", "b1", "b2", "c1"} {
		must.Eq(t, 1, f.handlers[name].announcements, must.Sprintf("instance %s", name))
	}
}

// Guards against an announcement that does not reach a zone because the zone's first instance is
// stopped.
func TestAnnounceSkipsStoppedInstances(t *testing.T) {
	f := newTestFleet(t, map[string]string{"a1": "a", "b1": "b", "b2": "b"}, nil)
	must.NoError(t, f.services["b1"].Stop(t.Context()))
	must.Eq(t, []string{"b2"}, f.announce(t, "a1"))
}

// Guards against accepting peers whose certificate was issued by another authority or for
// another name.
func TestUntrustedPeerIsRejected(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	certs := map[string]*Certificates{
		"a1": trusted.issue(t, dir, "a1", CertificateName),
		"a2": trusted.issue(t, dir, "a2", CertificateName),
		"a3": other.issue(t, dir, "a3", CertificateName),
		"a4": trusted.issue(t, dir, "a4", "backend.example"),
	}
	f := newTestFleet(t, map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a"}, certs)
	must.Eq(t, []string{"a2"}, f.announce(t, "a1"))
	must.SliceEmpty(t, f.announce(t, "a3"))
	must.SliceEmpty(t, f.announce(t, "a4"))
}

// Guards against instances that keep using an old certificate after its files changed, and
// against the loss of a working certificate when the new files are unusable.
func TestCertificatesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	first := newAuthority(t)
	certs := first.issue(t, dir, "a1", CertificateName)
	before, _, err := certs.current()
	must.NoError(t, err)

	must.NoError(t, os.WriteFile(certs.files.CertFile, []byte("broken"), 0o600))
	setModTime(t, certs.files.CertFile, time.Minute)
	during, _, err := certs.current()
	must.NoError(t, err)
	must.Eq(t, before.Certificate[0], during.Certificate[0])

	newAuthority(t).issue(t, dir, "a1", CertificateName)
	setModTime(t, certs.files.CertFile, 2*time.Minute)
	after, _, err := certs.current()
	must.NoError(t, err)
	must.NotEq(t, before.Certificate[0], after.Certificate[0])
}

func setModTime(t *testing.T, file string, offset time.Duration) {
	t.Helper()
	modTime := time.Now().Add(offset)
	must.NoError(t, os.Chtimes(file, modTime, modTime))
}

// Guards against exchange rounds that never select some instances or zones.
func TestRoundsReachEveryPeer(t *testing.T) {
	instances := []Instance{
		{Name: "a1", Zone: "a"}, {Name: "a2", Zone: "a"}, {Name: "a3", Zone: "a"},
		{Name: "b1", Zone: "b"}, {Name: "b2", Zone: "b"}, {Name: "c1", Zone: "c"},
	}
	zone, remote := splitByZone(instances, "a")
	must.Eq(t, []string{"a1", "a2", "a3"}, instanceNames(zone))
	must.Eq(t, []string{"b1", "c1", "b2"}, instanceNames(remote))
	selections := map[string]int{}
	for round := range 6 {
		for _, in := range append(selectForRound(zone, round, ZoneFanout), selectForRound(remote, round, 1)...) {
			selections[in.Name]++
		}
	}
	must.Eq(t, map[string]int{"a1": 4, "a2": 4, "a3": 4, "b1": 2, "b2": 2, "c1": 2}, selections)
}

func instanceNames(instances []Instance) []string {
	var result []string
	for _, in := range instances {
		result = append(result, in.Name)
	}
	return result
}

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return &authority{cert: cert, key: key}
}

// issue issues a certificate for dnsName, writes the files of an instance and loads them.
func (a *authority) issue(t *testing.T, dir, instance, dnsName string) *Certificates {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		DNSNames:     []string{dnsName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	files := settings.TLS{
		CertFile: filepath.Join(dir, instance+".pem"),
		KeyFile:  filepath.Join(dir, instance+"-key.pem"),
		CAFile:   filepath.Join(dir, instance+"-ca.pem"),
	}
	writePEM(t, files.CertFile, "CERTIFICATE", der)
	writePEM(t, files.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(t, files.CAFile, "CERTIFICATE", a.cert.Raw)
	certs, err := LoadCertificates(files)
	must.NoError(t, err)
	return certs
}

func writePEM(t *testing.T, file, blockType string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	must.NoError(t, os.WriteFile(file, data, 0o600))
}
