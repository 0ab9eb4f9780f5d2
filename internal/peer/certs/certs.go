// Package certs holds the keys and certificates by which entry VMs know each
// other, and replaces them while the process runs.
//
// Every entry VM proves who it is by a certificate that names the VM and its
// IP address and is signed by the operator's own authority. A peer whose
// certificate does not fit the address it speaks from gets no connection, so a
// stolen name on another machine, or a stranger on the same network, sees
// nothing and changes nothing.
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

// Protocol is the ALPN name of the exchange between entry VMs. A change that an
// older program would misread gets a new number.
const Protocol = "hawthorn/1"

// PEM is the text form of one VM's credentials, as settings hold them.
type PEM struct {
	Cert []byte // this VM's certificate, then any intermediates
	Key  []byte // its private key
	CA   []byte // the certificates of every authority to trust
}

type bundle struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// Store holds the credentials in force. The zero value has none and refuses
// every connection until Load succeeds.
type Store struct {
	now atomic.Pointer[bundle]
	gen atomic.Uint64
}

// Load checks p and puts it in force for every connection made from now on. A
// bundle that does not fit together is refused with kind Malformed, and the
// one in force stays: a slip in a settings edit must not cut a VM off.
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
	s.now.Store(&bundle{cert: cert, pool: pool})
	s.gen.Add(1)
	return nil
}

// Generation rises with each Load. A connection made under an older one should
// be made again, so that a withdrawn authority stops counting.
func (s *Store) Generation() uint64 { return s.gen.Load() }

// Server returns the settings for accepting peers. Each handshake uses the
// credentials in force at that moment.
func (s *Store) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			b := s.now.Load()
			if b == nil {
				return nil, kinds.New(kinds.Denied, "no credentials loaded")
			}
			return b.server(h.Conn), nil
		},
	}
}

func (b *bundle) server(c net.Conn) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		Certificates: []tls.Certificate{b.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    b.pool,
		// Session tickets would let a peer come back without showing a
		// certificate again, past a withdrawn authority.
		SessionTicketsDisabled: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			addr, err := netip.ParseAddrPort(c.RemoteAddr().String())
			if err != nil {
				return kinds.Wrap(kinds.Denied, err, "peer address")
			}
			return speaksFrom(cs.PeerCertificates[0], addr.Addr())
		},
	}
}

// Client returns the settings for calling the peer vm at addr. The connection
// fails unless the peer's certificate names exactly that VM and address.
func (s *Store) Client(vm ident.VM, addr netip.Addr) (*tls.Config, error) {
	b := s.now.Load()
	if b == nil {
		return nil, kinds.New(kinds.Denied, "no credentials loaded")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		Certificates: []tls.Certificate{b.cert},
		RootCAs:      b.pool,
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

func verify(leaf *x509.Certificate, pool *x509.CertPool, usage x509.ExtKeyUsage) error {
	_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{usage}})
	return kinds.Wrap(kinds.Malformed, err, "certificate is not signed by the authority beside it")
}

func speaksFrom(c *x509.Certificate, addr netip.Addr) error {
	for _, ip := range c.IPAddresses {
		if got, ok := netip.AddrFromSlice(ip); ok && got.Unmap() == addr.Unmap() {
			return nil
		}
	}
	return kinds.New(kinds.Denied, "certificate of "+string(Name(c))+" is not for "+addr.String())
}
