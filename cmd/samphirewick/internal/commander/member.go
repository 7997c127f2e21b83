package commander

import (
	"context"
	"net/url"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/internal/messenger"
)

// newMemberCmds returns the commands that list, add and remove members of control.
func newMemberCmds(app *kingpin.Application) []command {
	parent := app.Command("member", "List, add and remove members of control.")
	return []command{
		newMemberListCmd(parent),
		newMemberAddCmd(parent),
		newMemberRemoveCmd(parent),
	}
}

func newMemberListCmd(parent *kingpin.CmdClause) command {
	clause := parent.Command("list", "List the members.")
	return command{clause, func(ctx context.Context, s session) error {
		var members []messenger.MemberStatus
		if err := s.client.Get(ctx, "/v1/members", nil, &members); err != nil {
			return err
		}
		return printMembers(s, members)
	}}
}

func newMemberAddCmd(parent *kingpin.CmdClause) command {
	clause := parent.Command("add", "Add a member. It becomes a voter once it has caught up.")
	id := clause.Arg("id", "ID that samphirewick-control format printed.").Required().String()
	address := clause.Arg("member-address", "Address at which other processes of the cell reach the member.").Required().String()
	return command{clause, func(ctx context.Context, s session) error {
		var members []messenger.MemberStatus
		call := messenger.MemberCall{ID: *id, Address: *address}
		if err := s.client.Post(ctx, "/v1/members", call, &members); err != nil {
			return err
		}
		return printMembers(s, members)
	}}
}

func newMemberRemoveCmd(parent *kingpin.CmdClause) command {
	clause := parent.Command("remove", "Remove a member.")
	id := clause.Arg("id", "ID of the member.").Required().String()
	return command{clause, func(ctx context.Context, s session) error {
		var members []messenger.MemberStatus
		if err := s.client.Delete(ctx, "/v1/members/"+url.PathEscape(*id), &members); err != nil {
			return err
		}
		return printMembers(s, members)
	}}
}

func printMembers(s session, members []messenger.MemberStatus) error {
	var rows [][]string
	for _, m := range members {
		rows = append(rows, []string{m.ID, m.Address, strconv.FormatBool(m.Voter), formatUint(m.Lag), strconv.FormatBool(m.Active)})
	}
	return s.print.Print(members, []string{"MEMBER", "ADDRESS", "VOTER", "LAG", "ACTIVE"}, rows)
}
