// Package origin records at which back end each stream began. What two releases of a back end write
// does not fit together, so a stream that was broken off may go on only at the release that began it,
// also if its caller takes it up at another host. Hosts share the records: see Directory.
package origin

// Source is the back end at which a stream began.
type Source struct {
	Service string
	// Release is the version of the software of the service's endpoint, empty if it reports none.
	Release string
}
