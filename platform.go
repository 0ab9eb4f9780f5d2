package hawthornfield

import (
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// The interfaces to the platform and the backend servers. Each is narrow, so that
// another platform needs only another adapter.
type (
	// Store is the platform's object API with versions, conditional updates and watches.
	Store = object.Store
	// Object is one named value in a Store.
	Object = object.Object
	// Version counts the updates of one object.
	Version = object.Version
	// Control sends orders to backend servers.
	Control = server.Control
	// Order grants or revokes leases. The holder of a server's authority sends it.
	Order = server.Order
	// Reply is a backend server's answer to an order.
	Reply = server.Reply
	// Mark is a reading of a backend server's own clock.
	Mark = server.Mark
	// VMLister reads the platform's list of VMs, which lags behind reality.
	VMLister = vmlist.Lister
)
