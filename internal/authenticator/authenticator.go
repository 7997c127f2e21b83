// Package authenticator tells who a caller is from the credential that it
// shows. Credentials are kept as digests; the secrets themselves are nowhere.
package authenticator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"

	"github.com/samphirewick/samphirewick/internal/modeler"
)

// CodeCredentials says that the file of credentials cannot be used.
const CodeCredentials = "credentials"

// Role is what a caller may do.
type Role string

// The roles.
const (
	// RoleDepartment may send requests, and submit and cancel its own jobs.
	RoleDepartment Role = "department"
	// RoleBackend may announce backend servers and renew their leases.
	RoleBackend Role = "backend"
	// RoleOperator may do everything.
	RoleOperator Role = "operator"
)

// Caller is who makes a call.
type Caller struct {
	// Name goes into the audit trail.
	Name string
	Role Role
	// Department is empty for operators and backend servers.
	Department string
}

// May reports whether the caller has the role, or is an operator.
func (c Caller) May(role Role) bool {
	return c.Role == role || c.Role == RoleOperator
}

// The headers that name a caller where authentication is off.
const (
	HeaderDepartment = "Samphirewick-Department"
	HeaderOperator   = "Samphirewick-Operator"
)

// Authenticator knows the credentials. It is immutable.
type Authenticator struct {
	// callers maps the digest of a secret to its caller; nil where authentication is off.
	callers map[string]Caller
}

// TrustAll returns an authenticator for use without authentication: it accepts the identity that a caller states.
func TrustAll() *Authenticator { return &Authenticator{} }

// Load reads a file of credentials: one section each, named as the caller, with
// role, department and sha256, the hexadecimal digest of the secret.
func Load(path string) (*Authenticator, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, oops.Code(CodeCredentials).With("file", path).Wrapf(err, "read credentials")
	}
	a := &Authenticator{callers: map[string]Caller{}}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection {
			continue
		}
		c := Caller{
			Name:       section.Name(),
			Role:       Role(section.Key("role").String()),
			Department: section.Key("department").String(),
		}
		digest := strings.ToLower(section.Key("sha256").String())
		if reason := checkCredential(c, digest); reason != "" {
			return nil, oops.Code(CodeCredentials).Errorf("credentials [%s] %s", section.Name(), reason)
		}
		a.callers[digest] = c
	}
	return a, nil
}

func checkCredential(c Caller, digest string) string {
	if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
		return "sha256: is not a hexadecimal digest"
	}
	switch c.Role {
	case RoleBackend, RoleOperator:
		return ""
	case RoleDepartment:
		if c.Department == "" {
			return "department: missing"
		}
		return ""
	default:
		return "role: is none of department, backend, operator"
	}
}

// Identify returns who makes the request.
func (a *Authenticator) Identify(request *http.Request) (Caller, *modeler.RefusalError) {
	if a.callers == nil {
		return believed(request), nil
	}
	secret, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Caller{}, modeler.Refuse(modeler.CodeUnauthenticated, "Authorization", "a bearer credential is missing")
	}
	digest := sha256.Sum256([]byte(secret))
	c, ok := a.callers[hex.EncodeToString(digest[:])]
	if !ok {
		return Caller{}, modeler.Refuse(modeler.CodeUnauthenticated, "Authorization", "the credential is not known")
	}
	return c, nil
}

// believed takes the caller at its word; without a word it is an operator of no name.
func believed(request *http.Request) Caller {
	if department := request.Header.Get(HeaderDepartment); department != "" {
		return Caller{Name: department, Role: RoleDepartment, Department: department}
	}
	name := request.Header.Get(HeaderOperator)
	if name == "" {
		name = "anonymous"
	}
	return Caller{Name: name, Role: RoleOperator}
}
