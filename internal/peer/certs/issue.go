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

// backdate lets a certificate be used at once by a peer whose wall clock is a
// little behind.
const backdate = 5 * time.Minute

// Authority signs certificates for entry VMs. It serves the demonstration, the
// tests, and operators who have no authority of their own; its key lives only
// in this process.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	life time.Duration
}

// NewAuthority makes an authority whose certificates, its own included, are
// valid for the given time.
func NewAuthority(life time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, kinds.Wrap(kinds.Internal, err, "generate authority key")
	}
	tmpl := template("hawthornfield authority", life)
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
	return &Authority{cert: cert, key: key, life: life}, nil
}

// Issue makes the credentials of one VM at one address.
func (a *Authority) Issue(vm ident.VM, addr netip.Addr) (PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return PEM{}, kinds.Wrap(kinds.Internal, err, "generate key")
	}
	tmpl := template(string(vm), a.life)
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
		Cert: encode("CERTIFICATE", der),
		Key:  encode("PRIVATE KEY", keyDER),
		CA:   encode("CERTIFICATE", a.cert.Raw),
	}, nil
}

func template(name string, life time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the system's random source never fails on a supported platform
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-backdate),
		NotAfter:     time.Now().Add(life),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
