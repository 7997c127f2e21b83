package transporter_test

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
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/modeler"
	"github.com/samphirewick/samphirewick/internal/transporter"
)

// serve runs a server on a free port until the test ends, and returns its
// address.
func serve(t *testing.T, config *tls.Config, handle transporter.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- transporter.NewServer(handle, config, 2).Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func echo(_ context.Context, _ string, params json.RawMessage) (any, error) { return params, nil }

func TestCallIsAnswered(t *testing.T) {
	t.Parallel()
	client := transporter.NewClient(serve(t, nil, echo), nil, zap.NewNop())
	t.Cleanup(client.Reset)
	var answer []int
	if err := client.Call(t.Context(), "echo", []int{1, 2}, &answer); err != nil || len(answer) != 2 {
		t.Errorf("answer is %v, want 2 numbers (error %v)", answer, err)
	}
}

func TestRefusalReachesCallerUnchanged(t *testing.T) {
	t.Parallel()
	want := modeler.Refuse(modeler.CodeConflict, "version", "is at 3")
	client := transporter.NewClient(serve(t, nil, func(context.Context, string, json.RawMessage) (any, error) {
		return nil, want
	}), nil, zap.NewNop())
	t.Cleanup(client.Reset)
	err := client.Call(t.Context(), "apply", struct{}{}, nil)
	var got *modeler.RefusalError
	if !errors.As(err, &got) || *got != *want {
		t.Errorf("got error %v, want %v", err, want)
	}
}

func TestBrokenConnectionIsDistinguishedFromFailedDial(t *testing.T) {
	t.Parallel()
	started, finish := make(chan struct{}), make(chan struct{})
	client := transporter.NewClient(serve(t, nil, func(context.Context, string, json.RawMessage) (any, error) {
		close(started)
		<-finish
		return struct{}{}, nil
	}), nil, zap.NewNop())
	failed := make(chan error, 1)
	go func() { failed <- client.Call(t.Context(), "slow", struct{}{}, nil) }()
	<-started
	client.Reset()
	if err := <-failed; !errors.Is(err, transporter.ErrOutcomeUnknown) {
		t.Errorf("call over a connection that broke: got error %v, want %v", err, transporter.ErrOutcomeUnknown)
	}
	close(finish)
	closed := transporter.NewClient("127.0.0.1:1", nil, zap.NewNop())
	if err := closed.Call(t.Context(), "any", struct{}{}, nil); !errors.Is(err, transporter.ErrNotSent) {
		t.Errorf("call without a connection: got error %v, want %v", err, transporter.ErrNotSent)
	}
}

// authority is a certificate authority for tests.
type authority struct {
	t           *testing.T
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{t: t, folder: t.TempDir(), key: key}
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.write("authority", a.certificate, key)
	return a
}

// write signs the certificate, and writes it and the key to files.
func (a *authority) write(name string, certificate *x509.Certificate, key *ecdsa.PrivateKey) {
	a.t.Helper()
	signed, err := x509.CreateCertificate(rand.Reader, certificate, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: signed},
		name + ".key": {Type: "EC PRIVATE KEY", Bytes: raw},
	}
	for file, block := range files {
		if err := os.WriteFile(filepath.Join(a.folder, file), pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
}

// config returns the TLS configuration of a process whose certificate the
// authority has signed.
func (a *authority) config(name string) *tls.Config {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name, &x509.Certificate{
		SerialNumber: big.NewInt(2), DNSNames: []string{transporter.ServerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	path := func(file string) string { return filepath.Join(a.folder, file) }
	config, err := transporter.LoadTLS(path(name+".pem"), path(name+".key"), path("authority.pem"))
	if err != nil {
		a.t.Fatal(err)
	}
	return config
}

func TestOnlyProcessesOfTheCellMayCall(t *testing.T) {
	t.Parallel()
	cell, otherCell := newAuthority(t), newAuthority(t)
	address := serve(t, cell.config("control"), echo)
	tests := map[string]struct {
		config *tls.Config
		wantOK bool
	}{
		"certificate of the cell's authority": {cell.config("entry"), true},
		"certificate of another authority":    {otherCell.config("entry"), false},
		"no certificate":                      {&tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}, false},
		"no TLS":                              {nil, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := transporter.NewClient(address, tt.config, zap.NewNop())
			t.Cleanup(client.Reset)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var answer string
			if err := client.Call(ctx, "echo", "hello", &answer); (err == nil) != tt.wantOK {
				t.Errorf("got error %v; only a certificate of the cell's authority must be accepted", err)
			}
		})
	}
}

func TestCallsOfAllLengthsArriveComplete(t *testing.T) {
	t.Parallel()
	client := transporter.NewClient(serve(t, nil, echo), nil, zap.NewNop())
	t.Cleanup(client.Reset)
	for _, length := range []int{0, 1, 64 << 10, 1 << 20} {
		text := strings.Repeat("é", length)
		var answer string
		if err := client.Call(t.Context(), "echo", text, &answer); err != nil || answer != text {
			t.Errorf("call of %d characters: %d came back (error %v)", length, len([]rune(answer)), err)
		}
	}
}
