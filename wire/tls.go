package wire

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// FleetTLS returns the configuration, for either end, of connections between processes of the
// fleet: each presents its certificate, and accepts any certificate that the authority signed.
// Names are not verified: processes reach each other by IP addresses, which change whenever a
// host is replaced, and every holder of a signed certificate belongs to the fleet. It returns
// an error if a file cannot be read or parsed.
func FleetTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "wire: load certificate and key")
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "wire: read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("wire: read CA file: no certificate in %s", caFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// Replaces the standard verification, which includes the name, by one of the signature
		// alone.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifySignature(pool, s.PeerCertificates) },
	}, nil
}

func verifySignature(pool *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.New("wire: verify peer certificate: none presented")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "wire: verify peer certificate")
}
