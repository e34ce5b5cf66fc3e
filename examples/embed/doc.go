// Package embed shows how a Go program uses jacinthrack as a library. The examples
// are in its test file, so that the tests run them.
package embed
