package entry

import "github.com/jacinthrack/jacinthrack/kernel"

// serviceFinder looks up the dependencies of a service in Provision and keeps the
// first error, so that the caller checks err once after all look-ups.
type serviceFinder struct {
	resolver kernel.Resolver
	err      error
}

// findService returns the service that is registered under name as a T. If there is
// none, or it is no T, it returns the zero value and records the error in
// f.
func findService[T any](f *serviceFinder, name string) T {
	service, err := kernel.Find[T](f.resolver, name)
	if err != nil && f.err == nil {
		f.err = err
	}
	return service
}
