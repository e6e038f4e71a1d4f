package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs the certificates of a test's fleet.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := authority{dir: t.TempDir(), key: key}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	require.NoError(t, err)
	a.writePEM(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a authority) writePEM(t *testing.T, name, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(t, os.WriteFile(filepath.Join(a.dir, name), text, 0o600))
}

// config returns the configuration of a process whose certificate this authority signed, and
// which accepts certificates that the trusted authority signed.
func (a authority) config(t *testing.T, trusts authority) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Unix(0, 0), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	a.writePEM(t, "cert.pem", "CERTIFICATE", der)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	a.writePEM(t, "key.pem", "EC PRIVATE KEY", private)
	config, err := FleetTLS(filepath.Join(a.dir, "cert.pem"), filepath.Join(a.dir, "key.pem"), filepath.Join(trusts.dir, "ca.pem"))
	require.NoError(t, err)
	return config
}

// dialFleet starts a TLS server, dials it and makes one call, and returns the error of the
// dial or the call.
func dialFleet(t *testing.T, server, client *tls.Config) error {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	answer := func(context.Context, *Peer, string, json.RawMessage) (any, error) { return "here", nil }
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, tls.NewListener(ln, server), &Handlers{Handle: answer}) }()
	l := &Link{Target: ln.Addr().(*net.TCPAddr).AddrPort(), Local: &Handlers{}, TLS: client}
	p, err := l.dial(ctx)
	if err == nil {
		var got string
		err = p.Call(ctx, "any", struct{}{}, &got)
		p.Close()
	}
	cancel()
	<-done
	return err
}

// A process with another authority's certificate, or without one, must neither send work to a
// side nor impersonate one: the messages decide what runs.
func TestFleetTLSAcceptsOnlyCertificatesOfTheAuthority(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	member := ours.config(t, ours)
	require.NoError(t, dialFleet(t, member, ours.config(t, ours)))
	require.Error(t, dialFleet(t, member, theirs.config(t, ours)), "client certificate of another authority")
	require.Error(t, dialFleet(t, theirs.config(t, ours), member), "server certificate of another authority")
	require.Error(t, dialFleet(t, member, &tls.Config{InsecureSkipVerify: true}), "client without a certificate")
}
