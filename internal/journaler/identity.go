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

// CodeIdentity says that a data folder has no identity, or has one already.
const CodeIdentity = "journalIdentity"

const identityFile = "identity.json"

// Identity says which member of which cell a data folder belongs to. It is
// drawn anew at each format, so that a member whose disk was emptied comes
// back as another one, without a vote.
type Identity struct {
	Schema int    `json:"schema"`
	Member string `json:"member"`
	// Cell is empty on a newcomer until a leader of the cell has spoken to it.
	Cell string `json:"cell,omitempty"`
	// Founder is the first member of a new cell, and at first its only voter.
	Founder bool   `json:"founder"`
	Address string `json:"address"`
	// Founders are the first members of a cell that several founded together;
	// empty where it had one founder.
	Founders []replicator.Member `json:"founders,omitempty"`
}

// InitialMembers returns the membership before the first entry of the log.
func (i Identity) InitialMembers() []replicator.Member {
	if !i.Founder {
		return nil
	}
	if len(i.Founders) > 0 {
		return i.Founders
	}
	return []replicator.Member{{ID: i.Member, Address: i.Address, Voter: true}}
}

// FormatFounder gives an empty data folder the identity of one of several
// founders of a cell. Every founder derives the same cell from the same
// addresses, so that they need not speak before they vote. It must not be used
// on a folder that was lost since the cell was founded.
func FormatFounder(disk Disk, address string, founders []string) (Identity, error) {
	sorted := slices.Clone(founders)
	slices.Sort(sorted)
	cell := uuid.NewSHA1(uuid.NameSpaceURL, []byte(strings.Join(sorted, " ")))
	i := Identity{Schema: identitySchema, Cell: cell.String(), Founder: true, Address: address}
	for _, a := range sorted {
		m := replicator.Member{ID: "founder-" + strings.ReplaceAll(a, ":", "-"), Address: a, Voter: true}
		if a == address {
			i.Member = m.ID
		}
		i.Founders = append(i.Founders, m)
	}
	if i.Member == "" {
		return i, oops.Code(CodeIdentity).Errorf("%s is none of the founders %v", address, sorted)
	}
	return i, WriteIdentity(disk, i)
}

const identitySchema = 1

// Format gives an empty data folder its identity: as founder of a new cell, or
// as a newcomer that a cell has yet to add.
func Format(disk Disk, name, address string, founder bool) (Identity, error) {
	names, err := disk.List()
	if err != nil {
		return Identity{}, diskError(err, "list", "")
	}
	for _, n := range names {
		if n != "lock" {
			return Identity{}, oops.Code(CodeIdentity).Errorf("the data folder is not empty: it holds %s", n)
		}
	}
	const shortID = 8
	i := Identity{
		Schema:  identitySchema,
		Member:  name + "-" + uuid.NewString()[:shortID],
		Founder: founder,
		Address: address,
	}
	if founder {
		i.Cell = uuid.NewString()
	}
	return i, WriteIdentity(disk, i)
}

// WriteIdentity puts the identity on the disk.
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

// ReadIdentity returns the identity of a formatted data folder.
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
		return i, damaged(identityFile, "it names no member")
	}
	return i, nil
}

const (
	probeFile = "probe"
	// probeBytes is the size of a write that a journal makes at most times.
	probeBytes = 64 << 10
)

// Probe reports whether the disk takes a write.
func Probe(disk Disk) error {
	if err := disk.Replace(probeFile, make([]byte, probeBytes)); err != nil {
		return diskError(err, "write", probeFile)
	}
	if err := disk.Remove(probeFile); err != nil {
		return diskError(err, "remove", probeFile)
	}
	return nil
}
