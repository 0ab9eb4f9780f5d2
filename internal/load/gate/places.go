package gate

import "time"

// estimate returns the expected number of requests of all VMs at the server, and the age of
// the report that it comes from, see [places.Server.Estimate].
func (s *server) estimate(now time.Time) (n float64, age time.Duration) {
	return s.places.Estimate(now)
}
