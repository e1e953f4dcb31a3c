package route

import "ironhollow/pkg/endpoint"

// SoleRelease returns the release of a service's endpoints; ok is false if they have several, or if
// there are none.
func (r *Router) SoleRelease(service string) (release string, ok bool) {
	for _, info := range r.directory.View().Infos() {
		if info.Service != service || info.State == endpoint.Gone {
			continue
		}
		if ok && info.Release != release {
			return "", false
		}
		release, ok = info.Release, true
	}
	return release, ok
}
