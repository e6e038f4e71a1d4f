package wire

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// FleetTLS gives the configuration for connections between processes of ours,
// for either end: each shows its certificate, and accepts any that the
// authority signed. Names are not checked: processes reach each other by IP
// numbers that change with every replaced host, and any holder of a signed
// certificate is one of ours.
func FleetTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "wire: tls")
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "wire: tls")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("wire: tls: no certificate in %s", caFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// The standard check is of a name; ours is of the signature alone.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return signedBy(pool, s.PeerCertificates) },
	}, nil
}

func signedBy(pool *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.New("wire: tls: no certificate shown")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "wire: tls")
}
