package main

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a comparison that misjudges the chosen scheme: rendezvous
// hashing moves no block of an instance that stays, and a recomputed slot table
// moves nearly all.
func TestCompare(t *testing.T) {
	byName := make(map[string]result)
	for _, b := range builders() {
		byName[b.name] = compare(b, 7, hashes(20_000))
	}
	for _, name := range []string{"slots, redirected", "ring, 160 virtual nodes", "rendezvous"} {
		must.Zero(t, byName[name].Needless, must.Sprint(name))
		must.Between(t, 0.08, byName[name].Moved, 0.22, must.Sprint(name))
	}
	must.Greater(t, 0.5, byName["slots, recomputed"].Needless)
	must.Less(t, 1.1, byName["rendezvous"].MaxLoad)
	var out strings.Builder
	must.NoError(t, writeTable(&out, []result{byName["rendezvous"]}))
	must.StrContains(t, out.String(), "rendezvous")
}
