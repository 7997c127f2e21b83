package transporter

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/loader"
)

// CodeTLS is the code of errors about the files for mutual TLS.
const CodeTLS = "transportTLS"

// LoadTLS returns the configuration for mutual TLS: both sides must present a
// certificate that the authority has signed. It requires TLS 1.3.
func LoadTLS(certificateFile, keyFile, authorityFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, oops.Code(CodeTLS).With("file", certificateFile).Wrapf(err, "load the certificate and its key")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, oops.Code(CodeTLS).With("file", authorityFile).Wrapf(err, "read the certificate of the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, oops.Code(CodeTLS).With("file", authorityFile).Errorf("the file of the authority contains no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
		ServerName:   ServerName,
	}, nil
}

// ServerName is the DNS name that every certificate of the cell must contain:
// clients verify it in the certificate of the server.
const ServerName = "samphirewick"

// TLSFromSettings returns the configuration for mutual TLS as in the settings.
// If mutual TLS is off, it logs a warning and returns nil.
func TLSFromSettings(settings loader.TLS, log *zap.Logger) (*tls.Config, error) {
	if !settings.Mutual.IsOn() {
		log.Warn("mutual TLS between the processes of the cell is disabled in the settings")
		return nil, nil
	}
	return LoadTLS(settings.Certificate, settings.Key, settings.Authority)
}
