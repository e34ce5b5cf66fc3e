package entry

import "github.com/jacinthrack/jacinthrack/kernel"

// finder looks up the services that another one needs, by name, and keeps the
// first error.
type finder struct {
	resolver kernel.Resolver
	err      error
}

// find returns the service registered under name as type T, or the zero value
// after an error.
func find[T any](f *finder, name string) T {
	service, err := kernel.Find[T](f.resolver, name)
	if err != nil && f.err == nil {
		f.err = err
	}
	return service
}
