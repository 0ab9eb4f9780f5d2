// Package quota bounds the rate of requests that all entry VMs together send to a backend
// server that states a limit with its answers (package notice): so many requests a second,
// from all VMs, for as long as it says so.
//
// The load: an overloaded server takes 1.6 requests a second, and nine or five hundred VMs
// hold requests for its keys. A share of the limit for each VM is far less than one request in
// the time in which the server counts, so the VMs either starve the server or exceed its
// limit together, and their number changes meanwhile.
//
// So each VM asks the leader for a permit before it sends a request to such a server. The
// leader takes it from the server's token bucket ([Dispenser]). Permits end soon, by the
// clock of the VM that asked, from when it asked; a VM that cannot ask sends nothing. A new
// leader grants nothing until all permits of the one before have ended.
package quota
