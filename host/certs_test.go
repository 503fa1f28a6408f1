package host

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"monsoonferry.org/ferry/conf"
)

// writeAuthority writes a self-signed certificate that is its own authority.
func writeAuthority(t *testing.T, directory string) conf.TLSFiles {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	files := conf.TLSFiles{
		Certificate: filepath.Join(directory, "cert.pem"), Key: filepath.Join(directory, "key.pem"),
		Authority: filepath.Join(directory, "cert.pem"),
	}
	for name, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der}, files.Key: {Type: "PRIVATE KEY", Bytes: raw},
	} {
		if err = os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}
