package storetest

import (
	"testing"
	"time"

	"github.com/jacinthrack/jacinthrack/tablestore"
	"github.com/shoenig/test/must"
)

// A missing object is an error and differs from an empty one, and a second Put replaces the
// object.
func testObjects(t *testing.T, f *fixture) {
	_, err := f.Objects.Get(f.ctx, "absent")
	notFound := mustBeError[*tablestore.NotFoundError](t, err)
	must.Eq(t, "absent", notFound.Name)
	must.NoError(t, f.Objects.Put(f.ctx, "object", []byte("first")))
	must.NoError(t, f.Objects.Put(f.ctx, "object", []byte("second")))
	data, err := f.Objects.Get(f.ctx, "object")
	must.NoError(t, err)
	must.Eq(t, "second", string(data))
	must.NoError(t, f.Objects.Put(f.ctx, "empty", nil))
	data, err = f.Objects.Get(f.ctx, "empty")
	must.NoError(t, err)
	must.Eq(t, 0, len(data))
}

// A listing returns the names, zones and states of the instances and the platform's time.
func testInstanceList(t *testing.T, f *fixture) {
	asOf := time.Unix(1_700_000_000, 0)
	want := []tablestore.Instance{
		{Name: "entry-1", Zone: "addis-a", State: tablestore.InstanceLive},
		{Name: "entry-2", Zone: "addis-b", State: tablestore.InstanceLeaving},
	}
	f.SetInstances(want, asOf)
	listing, err := f.Instances.List(f.ctx)
	must.NoError(t, err)
	must.Eq(t, want, listing.Instances)
	must.True(t, asOf.Equal(listing.AsOf))
	f.SetInstances(nil, asOf.Add(time.Second))
	listing, err = f.Instances.List(f.ctx)
	must.NoError(t, err)
	must.Len(t, 0, listing.Instances)
}
