// Package embed has examples of Go programs that use jacinthrack as a library. They are in
// the test file, so that go test runs them.
package embed
