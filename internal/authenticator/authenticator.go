// Package authenticator identifies callers by their bearer credential. Only the
// digests of the secrets are stored, never the secrets.
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

// CodeCredentials is the error code for a credentials file that can't be read or is invalid.
const CodeCredentials = "credentials"

// Role determines which calls a caller may make.
type Role string

// The roles.
const (
	// RoleDepartment may send requests, and submit and cancel its own jobs.
	RoleDepartment Role = "department"
	// RoleBackend may announce backend servers and renew their leases.
	RoleBackend Role = "backend"
	// RoleOperator may make every call.
	RoleOperator Role = "operator"
)

// Caller is the identity behind a call.
type Caller struct {
	// Name identifies the caller in the audit trail.
	Name string
	Role Role
	// Department is empty for operators and backend servers.
	Department string
}

// May reports whether the caller has the role, or is an operator.
func (c Caller) May(role Role) bool {
	return c.Role == role || c.Role == RoleOperator
}

// The headers in which a caller states its identity while authentication is off.
const (
	HeaderDepartment = "Samphirewick-Department"
	HeaderOperator   = "Samphirewick-Operator"
)

// Authenticator identifies callers. It is immutable.
type Authenticator struct {
	// callers maps the hexadecimal SHA-256 digest of a secret to its caller; nil if authentication is off.
	callers map[string]Caller
}

// TrustAll returns an authenticator for use without authentication: it accepts the identity that a caller states.
func TrustAll() *Authenticator { return &Authenticator{} }

// Load reads a credentials file. Each section is a credential with the caller's
// name as its title, and the keys role, department and sha256, the hexadecimal
// digest of the secret. Errors have the code CodeCredentials.
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

// checkCredential returns what is wrong with a credential, or an empty string.
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

// Identify returns the caller of the request. It refuses a missing or unknown
// credential with CodeUnauthenticated.
func (a *Authenticator) Identify(request *http.Request) (Caller, *modeler.RefusalError) {
	if a.callers == nil {
		return statedCaller(request), nil
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

// statedCaller returns the caller that the headers state, or an operator: the named one, or anonymous.
func statedCaller(request *http.Request) Caller {
	if department := request.Header.Get(HeaderDepartment); department != "" {
		return Caller{Name: department, Role: RoleDepartment, Department: department}
	}
	name := request.Header.Get(HeaderOperator)
	if name == "" {
		name = "anonymous"
	}
	return Caller{Name: name, Role: RoleOperator}
}
