package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lynxgate.dev/lynxgate/internal/outcome"
)

func TestLargeHeadersAndBodiesAreRefused(t *testing.T) {
	agent := &fakeAgent{run: plainAnswer("ran")}
	b := newTestbed(t, Config{MaxBodyBytes: 2000, MaxHeaderBytes: 5000}, agent)
	require.Equal(t, "ran", b.call("/services/office/x", strings.Repeat("x", 2000)).body)
	body := b.call("/services/office/x", strings.Repeat("x", 2001))
	require.Equal(t, 413, body.status)
	require.Equal(t, outcome.BodyTooLarge, body.reason)
	header := b.call("/services/office/x", "", "X-Long", strings.Repeat("x", 5000))
	require.Equal(t, 431, header.status)
	require.Equal(t, "not_run", header.kind)
	require.Len(t, agent.requests(), 1)
}

// The connection of a caller who sends the header or the body too slowly is
// closed.
func TestConnectionsOfSlowCallersAreClosed(t *testing.T) {
	agent := &fakeAgent{run: plainAnswer("ran")}
	b := newTestbed(t, Config{ReadHeaderTimeout: 50 * time.Millisecond, ReadBodyTimeout: 50 * time.Millisecond}, agent)
	for _, sent := range []string{
		"POST /services/office/x HTTP/1.1\r\nHost: x\r\n",
		"POST /services/office/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-o1\r\nContent-Length: 10\r\n\r\npart",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		require.NoError(t, err)
		_, err = conn.Write([]byte(sent))
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
		answer, err := io.ReadAll(conn)
		require.NoError(t, err, "the entry keeps the connection of a slow caller")
		require.NotContains(t, string(answer), "200 OK")
		require.NoError(t, conn.Close())
	}
	require.Empty(t, agent.requests())
}

// A connection over the limit is served only after another one is closed.
func TestConnectionLimit(t *testing.T) {
	agent := &fakeAgent{run: plainAnswer("ran")}
	b := newTestbed(t, Config{MaxConnections: 1}, agent)
	var first net.Conn
	require.Eventually(t, func() bool {
		var err error
		first, err = net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		return err == nil
	}, waitLimit, time.Millisecond)
	// An answer on the first connection shows that it has been accepted.
	_, err := first.Write([]byte("GET /none HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	_, err = first.Read(make([]byte, 1))
	require.NoError(t, err)

	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = b.send(ctx, "/services/office/x", "")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.NoError(t, first.Close())
	require.Equal(t, "ran", b.call("/services/office/x", "").body)
}

func TestTLSBySettings(t *testing.T) {
	cert, key, pool := writeCertificate(t)
	b := newTestbed(t, Config{TLSCert: cert, TLSKey: key}, &fakeAgent{run: plainAnswer("ran")})
	require.Equal(t, http.StatusBadRequest, b.call("/services/office/x", "").status, "plain HTTP")
	b.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	b.url = strings.Replace(b.url, "http:", "https:", 1)
	require.Equal(t, "ran", b.call("/services/office/x", "").body)
}

// writeCertificate writes a certificate for the loopback address.
func writeCertificate(t *testing.T) (certFile, keyFile string, pool *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	pool = x509.NewCertPool()
	pool.AppendCertsFromPEM(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return certFile, keyFile, pool
}
