package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/core/kinds"
)

// backdate is how far in the past a certificate becomes valid, so that a peer whose clock
// is a little behind accepts it at once.
const backdate = 5 * time.Minute

// Authority signs certificates for entry VMs. It is used by the demo, by tests, and by
// operators who have no authority of their own. Its key exists only in this process.
type Authority struct {
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	validity time.Duration
}

// NewAuthority creates an authority whose certificates, including its own, are valid for
// the given time.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "generate authority key")
	}
	tmpl := template("hawthornfield authority", validity)
	tmpl.IsCA = true
	tmpl.BasicConstraintsValid = true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "sign authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "parse authority")
	}
	return &Authority{cert: cert, key: key, validity: validity}, nil
}

// Issue creates the credentials of one VM at one address.
func (a *Authority) Issue(vm ident.VM, addr netip.Addr) (PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return PEM{}, kinds.Wrap(kinds.Internal, err, "generate key")
	}
	tmpl := template(string(vm), a.validity)
	tmpl.IPAddresses = []net.IP{addr.Unmap().AsSlice()}
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return PEM{}, kinds.Wrap(kinds.Internal, err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return PEM{}, kinds.Wrap(kinds.Internal, err, "encode key")
	}
	return PEM{
		Cert: encodePEM("CERTIFICATE", der),
		Key:  encodePEM("PRIVATE KEY", keyDER),
		CA:   encodePEM("CERTIFICATE", a.cert.Raw),
	}, nil
}

func template(name string, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the random source of the system does not fail on supported platforms
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-backdate),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
