package commander

import (
	"context"
	"fmt"
	"net"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/samphirewick/samphirewick/cmd/samphirewick-standin/internal/balancer"
	"github.com/samphirewick/samphirewick/internal/executor"
	"github.com/samphirewick/samphirewick/internal/runner"
)

// balancerOptions holds the flags of the balancer command.
type balancerOptions struct {
	listen  string
	targets []string
}

// newBalancerCmd returns the command that imitates the platform's balancer.
func newBalancerCmd(app *kingpin.Application) executor.Command {
	options := balancerOptions{}
	clause := app.Command("balancer", "Imitate the platform's balancer.")
	clause.Flag("listen", "Address to listen on.").Required().StringVar(&options.listen)
	clause.Flag("target", "Address and admin address of an entry, separated by a comma; repeatable.").Required().
		StringsVar(&options.targets)
	return executor.Command{Clause: clause, Run: func() error { return runBalancer(options) }}
}

func runBalancer(options balancerOptions) error {
	var targets []balancer.Target
	for _, t := range options.targets {
		address, admin, ok := strings.Cut(t, ",")
		if !ok {
			return fmt.Errorf("--target: %q: want ADDRESS,ADMIN separated by a comma", t)
		}
		targets = append(targets, balancer.Target{Address: address, Admin: admin})
	}
	listener, err := net.Listen("tcp", options.listen)
	if err != nil {
		return err
	}
	b := balancer.New(targets)
	return runner.Run(context.Background(),
		func(ctx context.Context) error { return serveHTTP(ctx, listener, b) },
		b.Run,
	)
}
