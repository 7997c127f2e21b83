package modeler

import (
	"net/netip"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of what a worker announces. Another writer may send anything, and what is
// accepted is replicated, kept in every snapshot, and summed over all workers.
const (
	// maxStartedAtMillis is the last millisecond of the year 9999, the last year that the
	// text form of a time can hold.
	maxStartedAtMillis = 253402300799999
	// maxTextBytes bounds each text that a worker announces. Zones, services and labels
	// are names of some ten bytes.
	maxTextBytes = 256
	// maxLabels is the maximum number of labels. Workers have two: their kind and rack.
	maxLabels = 64
	// maxHostBytes is the maximum length of a DNS name.
	maxHostBytes = 253
)

// MaxResources is the most that a worker may offer, and a task may need: ten times the
// largest machines on sale, which have about 2,000 processors and 64 TiB. The sum over
// 10,000 workers fits in 64 bits.
func MaxResources() Resources {
	const tebibyte = 1 << 40
	return Resources{Processors: 20_000_000, Memory: 640 * tebibyte, Accelerators: 10_000}
}

// Validate returns a refusal that names the first invalid field of what a worker
// announces, or nil.
func (s Session) Validate() *RefusalError {
	if refusal := CheckName("worker", s.Worker); refusal != nil {
		return refusal
	}
	if s.StartedAtMillis < 0 || s.StartedAtMillis > maxStartedAtMillis {
		return Refuse(CodeInvalid, "born", "%d is not within 0 and %d", s.StartedAtMillis, maxStartedAtMillis)
	}
	if refusal := CheckAddress("address", s.Address); refusal != nil {
		return refusal
	}
	if s.Service == "" {
		return Refuse(CodeInvalid, "service", "missing")
	}
	if len(s.Labels) > maxLabels {
		return Refuse(CodeInvalid, "labels", "%d are more than %d", len(s.Labels), maxLabels)
	}
	texts := []struct{ field, text string }{
		{"service", s.Service}, {"zone", s.DataCentre}, {"kind", s.Kind}, {"rack", s.Rack},
	}
	for _, label := range s.Labels {
		texts = append(texts, struct{ field, text string }{"labels", label})
	}
	for _, t := range texts {
		if refusal := checkText(t.field, t.text); refusal != nil {
			return refusal
		}
	}
	return CheckResources("capacity", s.Capacity)
}

// CheckResources refuses amounts that are negative or above MaxResources.
func CheckResources(field string, r Resources) *RefusalError {
	if r.IsNegative() {
		return Refuse(CodeInvalid, field, "is negative")
	}
	if limit := MaxResources(); !r.FitsIn(limit) {
		return Refuse(CodeInvalid, field, "%+v is more than %+v", r, limit)
	}
	return nil
}

// CheckAddress refuses what is no host and port: an IP address or a DNS name, a colon,
// and a port from 1 to 65535.
func CheckAddress(field, address string) *RefusalError {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		if parsed.Port() == 0 {
			return Refuse(CodeInvalid, field, "the port is 0")
		}
		return nil
	}
	if len(address) > maxHostBytes+len(":65535") {
		return Refuse(CodeInvalid, field, "longer than a host and a port")
	}
	host, port, found := strings.Cut(address, ":")
	if !found || host == "" || strings.ContainsFunc(host, isNoHostRune) {
		return Refuse(CodeInvalid, field, "%q is no host and port", address)
	}
	// ParseUint takes no sign.
	if n, err := strconv.ParseUint(port, decimalBase, 16); err != nil || n == 0 {
		return Refuse(CodeInvalid, field, "%q is no port", port)
	}
	return nil
}

func isNoHostRune(c rune) bool { return c == '/' || !isNameRune(c) }

func checkText(field, text string) *RefusalError {
	if len(text) > maxTextBytes {
		return Refuse(CodeInvalid, field, "longer than %d bytes", maxTextBytes)
	}
	if !utf8.ValidString(text) || strings.ContainsFunc(text, unicode.IsControl) {
		return Refuse(CodeInvalid, field, "%q holds control characters or bytes that are no text", text)
	}
	return nil
}
