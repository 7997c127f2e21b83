package journaler

import (
	"encoding/json"
	"errors"
	"io/fs"
	"slices"
	"strings"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/samphirewick/samphirewick/internal/replicator"
)

// CodeIdentity is the code of errors about the identity of a data folder: it has
// none, or it cannot be given one.
const CodeIdentity = "journalIdentity"

const identityFile = "identity.json"

// Identity identifies the member and the cell that a data folder belongs to.
// Format generates a new one each time, so that a member whose disk was lost
// returns as another member, without a vote.
type Identity struct {
	Schema int    `json:"schema"`
	Member string `json:"member"`
	// Cell is empty on a joining member until it has received messages of the cell.
	Cell string `json:"cell,omitempty"`
	// Founder is set on the members that found a cell, its first voters.
	Founder bool   `json:"founder"`
	Address string `json:"address"`
	// Founders are the first members of a cell that several members founded
	// together; empty if it has a single founder.
	Founders []replicator.Member `json:"founders,omitempty"`
}

// InitialMembers returns the membership before the first entry of the log. It
// returns nil for a member that joins an existing cell.
func (i Identity) InitialMembers() []replicator.Member {
	if !i.Founder {
		return nil
	}
	if len(i.Founders) > 0 {
		return i.Founders
	}
	return []replicator.Member{{ID: i.Member, Address: i.Address, Voter: true}}
}

// FormatFounder writes the identity of one of several founders of a cell to an
// empty data folder. Every founder derives the same cell and the same members
// from the same addresses, so that they need no communication before their first
// election. It must not be used for a member that lost its data folder after the
// cell was founded.
// It returns an error with CodeIdentity if the folder is not empty.
func FormatFounder(disk Disk, address string, founders []string) (Identity, error) {
	if err := checkEmpty(disk); err != nil {
		return Identity{}, err
	}
	sorted := slices.Clone(founders)
	slices.Sort(sorted)
	cell := uuid.NewSHA1(uuid.NameSpaceURL, []byte(strings.Join(sorted, " ")))
	i := Identity{Schema: identitySchemaVersion, Cell: cell.String(), Founder: true, Address: address}
	for _, a := range sorted {
		m := replicator.Member{ID: "founder-" + strings.ReplaceAll(a, ":", "-"), Address: a, Voter: true}
		if a == address {
			i.Member = m.ID
		}
		i.Founders = append(i.Founders, m)
	}
	if i.Member == "" {
		return i, oops.Code(CodeIdentity).Errorf("address %s is not among the founders %v", address, sorted)
	}
	return i, WriteIdentity(disk, i)
}

const identitySchemaVersion = 1

// Format writes a new identity to an empty data folder: the identity of the
// single founder of a new cell, or of a member that joins a cell later. It returns an
// error with CodeIdentity if the folder is not empty.
func Format(disk Disk, name, address string, founder bool) (Identity, error) {
	if err := checkEmpty(disk); err != nil {
		return Identity{}, err
	}
	const shortID = 8
	i := Identity{
		Schema:  identitySchemaVersion,
		Member:  name + "-" + uuid.NewString()[:shortID],
		Founder: founder,
		Address: address,
	}
	if founder {
		i.Cell = uuid.NewString()
	}
	return i, WriteIdentity(disk, i)
}

// checkEmpty returns an error if the data folder holds any file but its lock. It
// ignores temporary files: a crash while an identity is written leaves one.
func checkEmpty(disk Disk) error {
	names, err := disk.List()
	if err != nil {
		return diskError(err, "list", "")
	}
	for _, n := range names {
		if n != "lock" && !strings.HasPrefix(n, temporaryPrefix) {
			return oops.Code(CodeIdentity).Errorf("the data folder is not empty: it holds %s", n)
		}
	}
	return nil
}

// WriteIdentity saves the identity to the disk.
func WriteIdentity(disk Disk, i Identity) error {
	data, err := json.Marshal(i)
	if err != nil {
		return err
	}
	if err := disk.Replace(identityFile, data); err != nil {
		return diskError(err, "write", identityFile)
	}
	return nil
}

// ReadIdentity returns the identity of a formatted data folder. The error has
// CodeIdentity if the folder has none, and CodeDamaged if it cannot be decoded.
func ReadIdentity(disk Disk) (Identity, error) {
	var i Identity
	data, err := disk.Read(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return i, oops.Code(CodeIdentity).Wrapf(err, "the data folder has no identity; format it first")
	}
	if err != nil {
		return i, diskError(err, "read", identityFile)
	}
	if err := json.Unmarshal(data, &i); err != nil || i.Member == "" {
		return i, damagedError(identityFile, "it does not contain a member")
	}
	return i, nil
}

const (
	probeFile = "probe"
	// probeBytes is the size of the probe file, which most writes of a journal
	// do not exceed.
	probeBytes = 64 << 10
)

// Probe writes and removes a file, and returns an error if the disk refuses that.
func Probe(disk Disk) error {
	if err := disk.Replace(probeFile, make([]byte, probeBytes)); err != nil {
		return diskError(err, "write", probeFile)
	}
	if err := disk.Remove(probeFile); err != nil {
		return diskError(err, "remove", probeFile)
	}
	return nil
}
