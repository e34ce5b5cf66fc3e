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

// fakeKnowledge records what it is given.
type fakeKnowledge struct {
	name, zone string

	mu        sync.Mutex
	replies   []string
	requests  []string
	announced int
	refuse    bool
}

func (k *fakeKnowledge) Digest(Recipient) *peerpb.Digest {
	return &peerpb.Digest{Sender: &peerpb.Sender{Name: k.name, Zone: k.zone}}
}

func (k *fakeKnowledge) MergeReply(_ context.Context, d *peerpb.Digest, _ time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replies = append(k.replies, d.GetSender().GetName())
}

func (k *fakeKnowledge) MergeRequest(d *peerpb.Digest) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, d.GetSender().GetName())
}

func (k *fakeKnowledge) HandleAnnouncement(context.Context, *peerpb.Announcement) *peerpb.Confirmation {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.announced++
	if k.refuse {
		return nil
	}
	return &peerpb.Confirmation{Name: k.name}
}

func (k *fakeKnowledge) Section([]byte) ([]byte, bool)        { return []byte("section"), true }
func (k *fakeKnowledge) Lend(string, uint32) (uint32, uint32) { return 0, 0 }
func (k *fakeKnowledge) State() *peerpb.StateReply            { return &peerpb.StateReply{} }

// fakeDirectory lists instances without its owner.
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

// fleet starts services that know each other. Their rounds are driven by hand.
type fleet struct {
	instances []Instance
	services  map[string]*Service
	knowledge map[string]*fakeKnowledge
}

func newFleet(t *testing.T, zones map[string]string, certs map[string]*Certificates) *fleet {
	t.Helper()
	f := &fleet{services: map[string]*Service{}, knowledge: map[string]*fakeKnowledge{}}
	for name, zone := range zones {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		f.instances = append(f.instances, Instance{Name: name, Zone: zone, Address: listener.Addr().String()})
		f.knowledge[name] = &fakeKnowledge{name: name, zone: zone}
		f.services[name] = NewService(Options{
			Name:      name,
			Zone:      zone,
			Listener:  listener,
			TLS:       certs[name],
			Handler: f.knowledge[name],
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
func (f *fleet) announce(t *testing.T, from string) []string {
	t.Helper()
	var confirmed []string
	for _, c := range f.services[from].Announce(t.Context(), &peerpb.Announcement{}) {
		confirmed = append(confirmed, c.GetName())
	}
	return confirmed
}

// Guards against announcements that miss a zone or an instance, and against
// confirmations of instances that did not take them.
func TestAnnounceReachesEveryInstance(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}, nil)
	f.knowledge["b2"].refuse = true
	confirmed := f.announce(t, "a1")
	must.Eq(t, []string{"a2", "b1", "c1"}, confirmed)
	for _, name := range []string{"a2", "b1", "b2", "c1"} {
		must.Eq(t, 1, f.knowledge[name].announced, must.Sprintf("instance %s", name))
	}
}

// Guards against an announcement that stops at a zone whose first instance is dead.
func TestAnnouncePassesDeadInstances(t *testing.T) {
	f := newFleet(t, map[string]string{"a1": "a", "b1": "b", "b2": "b"}, nil)
	must.NoError(t, f.services["b1"].Stop(t.Context()))
	must.Eq(t, []string{"b2"}, f.announce(t, "a1"))
}

// Guards against peers outside the deployment's certificate authority.
func TestUntrustedPeerIsRefused(t *testing.T) {
	trusted, other := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	certs := map[string]*Certificates{
		"a1": trusted.issue(t, dir, "a1", CertificateName),
		"a2": trusted.issue(t, dir, "a2", CertificateName),
		"a3": other.issue(t, dir, "a3", CertificateName),
		"a4": trusted.issue(t, dir, "a4", "backend.example"),
	}
	f := newFleet(t, map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a"}, certs)
	must.Eq(t, []string{"a2"}, f.announce(t, "a1"))
	must.SliceEmpty(t, f.announce(t, "a3"))
	must.SliceEmpty(t, f.announce(t, "a4"))
}

// Guards against instances that keep an old authority after its files changed,
// and against unusable new files that take a working certificate away.
func TestCertificatesAreReadAgain(t *testing.T) {
	dir := t.TempDir()
	first := newAuthority(t)
	certs := first.issue(t, dir, "a1", CertificateName)
	before, _, err := certs.current()
	must.NoError(t, err)

	must.NoError(t, os.WriteFile(certs.files.CertFile, []byte("broken"), 0o600))
	touch(t, certs.files.CertFile, time.Minute)
	during, _, err := certs.current()
	must.NoError(t, err)
	must.Eq(t, before.Certificate[0], during.Certificate[0])

	newAuthority(t).issue(t, dir, "a1", CertificateName)
	touch(t, certs.files.CertFile, 2*time.Minute)
	after, _, err := certs.current()
	must.NoError(t, err)
	must.NotEq(t, before.Certificate[0], after.Certificate[0])
}

func touch(t *testing.T, file string, ahead time.Duration) {
	t.Helper()
	stamp := time.Now().Add(ahead)
	must.NoError(t, os.Chtimes(file, stamp, stamp))
}

// Guards against a rotation that never reaches some instances or zones.
func TestRotationReachesEveryPeer(t *testing.T) {
	instances := []Instance{
		{Name: "a1", Zone: "a"}, {Name: "a2", Zone: "a"}, {Name: "a3", Zone: "a"},
		{Name: "b1", Zone: "b"}, {Name: "b2", Zone: "b"}, {Name: "c1", Zone: "c"},
	}
	zone, remote := split(instances, "a")
	must.Eq(t, []string{"a1", "a2", "a3"}, names(zone))
	must.Eq(t, []string{"b1", "c1", "b2"}, names(remote))
	seen := map[string]int{}
	for turn := range 6 {
		for _, in := range append(rotate(zone, turn, ZoneFanout), rotate(remote, turn, 1)...) {
			seen[in.Name]++
		}
	}
	must.Eq(t, map[string]int{"a1": 4, "a2": 4, "a3": 4, "b1": 2, "b2": 2, "c1": 2}, seen)
}

func names(instances []Instance) []string {
	var out []string
	for _, in := range instances {
		out = append(out, in.Name)
	}
	return out
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

// issue writes certificate files for an instance and loads them.
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

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	must.NoError(t, os.WriteFile(file, data, 0o600))
}
