// Package emulator plays the load of callers against the decisions of package dispatch, in
// simulated time and without a network. It shows what callers get from a policy on deployments
// of any shape: regions of unequal size, few or many slots, small or large caches, load below
// and above the capacity.
//
// The entry instances use the real dispatcher. Callers, the network and the backend servers
// are models: a server runs as many requests as it has slots, queues a few more, rejects the
// others, and handles an object in its cache faster. A run is reproducible from its seed.
package emulator
