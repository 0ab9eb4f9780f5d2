// Package certs holds the keys and certificates with which entry VMs authenticate each
// other, and replaces them while the process runs.
//
// Every entry VM has a certificate that names the VM and its IP address and is signed by
// the operator's own authority. A peer whose certificate does not match its address is
// refused, so neither a stolen certificate used on another machine nor an unknown machine
// on the same network can read or change anything.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"sync/atomic"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// Protocol is the ALPN name of the protocol between entry VMs. An incompatible change of
// the protocol needs a new number.
const Protocol = "hawthorn/1"

// PEM holds the PEM-encoded credentials of one VM, as given in the settings.
type PEM struct {
	Cert []byte // certificate of this VM, followed by any intermediates
	Key  []byte // private key of this VM
	CA   []byte // certificates of all trusted authorities
}

// credentials are parsed and verified credentials.
type credentials struct {
	cert        tls.Certificate
	authorities *x509.CertPool
}

// Store holds the current credentials. The zero value has none and refuses every
// connection until Load succeeds for the first time.
type Store struct {
	current    atomic.Pointer[credentials]
	generation atomic.Uint64
}

// Load verifies p and uses it for all later connections. Credentials that do not match
// each other are refused with kind Malformed, and the current ones stay, so that a mistake
// in the settings does not disconnect a VM.
func (s *Store) Load(p PEM) error {
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return kinds.Wrap(kinds.Malformed, err, "certificate and key")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(p.CA) {
		return kinds.New(kinds.Malformed, "no certificate authority in the bundle")
	}
	if err := verify(cert.Leaf, pool, x509.ExtKeyUsageClientAuth); err != nil {
		return err
	}
	s.current.Store(&credentials{cert: cert, authorities: pool})
	s.generation.Add(1)
	return nil
}

// Generation returns a number that each successful Load increases. Connections made under
// an older generation should be replaced, so that a withdrawn authority is not trusted
// any longer.
func (s *Store) Generation() uint64 { return s.generation.Load() }

// Server returns the TLS configuration for accepting peers. Each handshake uses the
// credentials that are current at that time.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			creds := s.current.Load()
			if creds == nil {
				return nil, kinds.New(kinds.Denied, "no credentials loaded")
			}
			return creds.server(h.Conn), nil
		},
	}
}

func (creds *credentials) server(c net.Conn) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		Certificates: []tls.Certificate{creds.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    creds.authorities,
		// With session tickets a peer could reconnect without presenting its
		// certificate, even if its authority was withdrawn.
		SessionTicketsDisabled: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			addr, err := netip.ParseAddrPort(c.RemoteAddr().String())
			if err != nil {
				return kinds.Wrap(kinds.Denied, err, "peer address")
			}
			return verifyAddress(cs.PeerCertificates[0], addr.Addr())
		},
	}
}

// Client returns the TLS configuration for connecting to the peer vm at addr. The
// connection fails unless the certificate of the peer names that VM and address.
func (s *Store) Client(vm ident.VM, addr netip.Addr) (*tls.Config, error) {
	creds := s.current.Load()
	if creds == nil {
		return nil, kinds.New(kinds.Denied, "no credentials loaded")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		Certificates: []tls.Certificate{creds.cert},
		RootCAs:      creds.authorities,
		ServerName:   addr.Unmap().String(),
		VerifyConnection: func(cs tls.ConnectionState) error {
			if got := Name(cs.PeerCertificates[0]); got != vm {
				return kinds.New(kinds.Denied, "peer is "+string(got)+", not "+string(vm))
			}
			return nil
		},
	}, nil
}

// Name returns the VM that a certificate was issued to.
func Name(c *x509.Certificate) ident.VM { return ident.VM(c.Subject.CommonName) }

// verify checks that a certificate is signed by an authority in pool for the given usage.
func verify(leaf *x509.Certificate, pool *x509.CertPool, usage x509.ExtKeyUsage) error {
	_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{usage}})
	return kinds.Wrap(kinds.Malformed, err, "certificate is not signed by an authority of its bundle")
}

// verifyAddress checks that a certificate names the address of the peer.
func verifyAddress(c *x509.Certificate, addr netip.Addr) error {
	for _, ip := range c.IPAddresses {
		if got, ok := netip.AddrFromSlice(ip); ok && got.Unmap() == addr.Unmap() {
			return nil
		}
	}
	return kinds.New(kinds.Denied, "certificate of "+string(Name(c))+" is not for "+addr.String())
}
