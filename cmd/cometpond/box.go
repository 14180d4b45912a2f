package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cometpond/internal/config"
	"cometpond/internal/standin"
)

func box(logger newLogger) *cobra.Command {
	var listen string
	p := standin.DefaultParams
	c := &cobra.Command{
		Use:   "box FILE",
		Short: "Run one stand-in of a queue box, for trying things out",
		Long: `Run a box that answers the commands of FILE over RESP. Each takes about a tenth of its class's aim on a core, and
repeats of a submission key are dropped for as long as the class says.`,
		Example: "  cometpond box examples/one.sexp --listen 127.0.0.1:7401",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			log, err := logger(c.ErrOrStderr())
			if err != nil {
				return err
			}
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			b, err := standin.NewServer(listen, standin.ServerOptions{Params: p, Jobs: standin.Jobs(cfg, 0.1), Seed: 1, Load: cfg.Backend.LoadSource})
			if err != nil {
				return err
			}
			log.Info().Str("listen", b.Addr()).Int("cores", p.Cores).Msg("box stands in")
			<-c.Context().Done()
			b.Close()
			return nil
		},
	}
	c.Flags().StringVar(&listen, "listen", "", "address to listen on")
	c.Flags().IntVar(&p.Cores, "cores", p.Cores, "cores")
	c.Flags().Float64Var(&p.Speed, "speed", p.Speed, "speed of a core, 1 as usual")
	c.Flags().IntVar(&p.QueueLength, "queue", p.QueueLength, "requests that may wait")
	if err := c.MarkFlagRequired("listen"); err != nil {
		panic(fmt.Sprint("box: ", err))
	}
	return c
}
