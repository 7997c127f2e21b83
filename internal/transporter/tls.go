package transporter

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/samphirewick/samphirewick/internal/loader"
)

// CodeTLS says that the files for mutual TLS cannot be used.
const CodeTLS = "transportTLS"

// LoadTLS returns the configuration for mutual TLS: both sides show a
// certificate that the authority signed.
func LoadTLS(certificateFile, keyFile, authorityFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, oops.Code(CodeTLS).With("file", certificateFile).Wrapf(err, "load the certificate")
	}
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, oops.Code(CodeTLS).With("file", authorityFile).Wrapf(err, "read the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, oops.Code(CodeTLS).With("file", authorityFile).Errorf("the authority holds no certificate")
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

// ServerName is the name that every certificate of the cell has to carry.
const ServerName = "samphirewick"

// TLSFromSettings returns the configuration that the settings ask for, or nil
// where mutual TLS is off, which it logs.
func TLSFromSettings(settings loader.TLS, log *zap.Logger) (*tls.Config, error) {
	if !settings.Mutual.IsOn() {
		log.Warn("mutual tls between the processes of the cell is off by the settings")
		return nil, nil
	}
	return LoadTLS(settings.Certificate, settings.Key, settings.Authority)
}
