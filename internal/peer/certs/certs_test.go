package certs

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func issue(t *testing.T, a *Authority, vm ident.VM) PEM {
	t.Helper()
	p, err := a.Issue(vm, loopback)
	assert.NilError(t, err)
	return p
}

// An operator sets new credentials with the key of another VM, or without the authority.
// The VM must refuse them and keep using the old ones.
func TestInvalidCredentialsLeaveTheOldOnesInUse(t *testing.T) {
	a, err := NewAuthority(time.Hour)
	assert.NilError(t, err)
	b, err := NewAuthority(time.Hour)
	assert.NilError(t, err)
	good, other := issue(t, a, "vm-1"), issue(t, b, "vm-2")

	var s Store
	assert.NilError(t, s.Load(good))
	gen := s.Generation()
	for name, bad := range map[string]PEM{
		"key of another":       {Cert: good.Cert, Key: other.Key, CA: good.CA},
		"no authority":         {Cert: good.Cert, Key: good.Key},
		"authority of another": {Cert: good.Cert, Key: good.Key, CA: other.CA},
		"empty":                {},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, kinds.Of(s.Load(bad)), kinds.Malformed)
			assert.Equal(t, s.Generation(), gen)
		})
	}
	_, err = s.Client("vm-1", loopback)
	assert.NilError(t, err)
}

func TestZeroStoreRefusesConnections(t *testing.T) {
	var s Store
	_, err := s.Client("vm-1", loopback)
	assert.Equal(t, kinds.Of(err), kinds.Denied)
}
