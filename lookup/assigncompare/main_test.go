package main

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Checks that the comparison shows the properties for which rendezvous hashing was
// chosen: only blocks of the leaving instance move, whereas a recomputed slot table
// moves nearly all blocks.
func TestCompareSchemes(t *testing.T) {
	byName := make(map[string]comparison)
	for _, b := range schemeBuilders() {
		byName[b.name] = compareScheme(b, 7, generateBlockHashes(20_000))
	}
	for _, name := range []string{"slots, redirected", "ring, 160 virtual nodes", "rendezvous"} {
		must.Zero(t, byName[name].NeedlessShare, must.Sprint(name))
		must.Between(t, 0.08, byName[name].MovedShare, 0.22, must.Sprint(name))
	}
	must.Greater(t, 0.5, byName["slots, recomputed"].NeedlessShare)
	must.Less(t, 1.1, byName["rendezvous"].MaxLoad)
	var out strings.Builder
	must.NoError(t, writeTable(&out, []comparison{byName["rendezvous"]}))
	must.StrContains(t, out.String(), "rendezvous")
}
