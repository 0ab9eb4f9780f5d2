package cmds

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
	"hawthornfield.org/hawthornfield/internal/peer/certs"
)

const certsHelp = `Make a new authority and a key and certificate for each entry VM, for operators
who have no authority of their own.

  hawthorn certs out vm-1=192.0.2.11 vm-2=192.0.2.12

writes out/vm-1.cert, out/vm-1.key, out/vm-2.cert, out/vm-2.key and out/ca.cert.
The authority's own key is thrown away: to add a VM later, make a new set and
load it on all VMs, which needs no restart.`

// Modes of the created files. Only the owner may read a key.
const (
	dirMode  = 0o700
	keyMode  = 0o600
	certMode = 0o644
)

type certsCmd struct {
	*app
	Days int `long:"days" default:"90" description:"how long the certificates are valid"`
	Args struct {
		Dir string   `positional-arg-name:"DIR" required:"yes"`
		VMs []string `positional-arg-name:"VM=IP" required:"1"`
	} `positional-args:"yes"`
}

// certRequest is one VM that needs a certificate for its address.
type certRequest struct {
	vm   ident.VM
	addr netip.Addr
}

// Execute creates the authority and the certificates. It parses all arguments before it
// writes any file.
func (c *certsCmd) Execute(args []string) error {
	if err := rejectExtraArgs(args); err != nil {
		return err
	}
	if c.Days < 1 {
		return kinds.New(kinds.BadRequest, "--days must be at least 1")
	}
	list, err := parseVMs(c.Args.VMs)
	if err != nil {
		return err
	}
	authority, err := certs.NewAuthority(time.Duration(c.Days) * 24 * time.Hour)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Args.Dir, dirMode); err != nil {
		return kinds.Wrap(kinds.Internal, err, "make folder")
	}
	for _, f := range list {
		if err := c.issue(authority, f); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.out, "%d certificates in %s, valid for %d days\n", len(list), c.Args.Dir, c.Days)
	return nil
}

func parseVMs(args []string) ([]certRequest, error) {
	list := make([]certRequest, 0, len(args))
	for _, arg := range args {
		name, address, ok := strings.Cut(arg, "=")
		addr, err := netip.ParseAddr(address)
		if !ok || name == "" || err != nil || name != filepath.Base(name) || name == "." || name == ".." {
			return nil, kinds.New(kinds.BadRequest, arg+" is not VM=IP")
		}
		list = append(list, certRequest{vm: ident.VM(name), addr: addr})
	}
	return list, nil
}

func (c *certsCmd) issue(a *certs.Authority, f certRequest) error {
	pem, err := a.Issue(f.vm, f.addr)
	if err != nil {
		return err
	}
	for _, file := range []struct {
		name string
		body []byte
		mode os.FileMode
	}{
		{string(f.vm) + ".cert", pem.Cert, certMode},
		{string(f.vm) + ".key", pem.Key, keyMode},
		{"ca.cert", pem.CA, certMode},
	} {
		if err := os.WriteFile(filepath.Join(c.Args.Dir, file.name), file.body, file.mode); err != nil {
			return kinds.Wrap(kinds.Internal, err, "write "+file.name)
		}
	}
	return nil
}
