package hawthornfield

import (
	"hawthornfield.org/hawthornfield/internal/plat/object"
	"hawthornfield.org/hawthornfield/internal/plat/server"
	"hawthornfield.org/hawthornfield/internal/plat/vmlist"
)

// What the surroundings must offer. Each is one narrow interface, so that
// another platform needs another adapter and nothing else.
type (
	// Store is the object API: versions, conditional updates, watches.
	Store = object.Store
	// Object is one named value in it.
	Object = object.Object
	// Version counts the updates of one object.
	Version = object.Version
	// Control gives orders to backend servers.
	Control = server.Control
	// Order is what a holder of authority sends.
	Order = server.Order
	// Reply is a backend server's answer.
	Reply = server.Reply
	// Mark is a reading of a backend server's own clock.
	Mark = server.Mark
	// VMLister reads the platform's lagging list of VMs.
	VMLister = vmlist.Lister
)
