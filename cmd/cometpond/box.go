package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"cometpond/internal/config"
	"cometpond/internal/standin"
)

// boxCommand runs a simulated back-end server.
func boxCommand(logger newLogger) *cobra.Command {
	var listen string
	params := standin.DefaultParams
	cmd := &cobra.Command{
		Use:   "box FILE",
		Short: "Run one simulated queue server, for experiments",
		Long: `Run a simulated server that answers the commands of FILE over RESP. Each command takes about a tenth of the target
latency of its class on one core. Repeats of a submission key are dropped for as long as the class says.`,
		Example: "  cometpond box examples/one.sexp --listen 127.0.0.1:7401",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log, err := logger(cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			server, err := standin.NewServer(listen, standin.ServerOptions{Params: params, Jobs: standin.Jobs(cfg, 0.1), Seed: 1, Load: cfg.Backend.LoadSource})
			if err != nil {
				return err
			}
			log.Info().Str("listen", server.Addr()).Int("cores", params.Cores).Msg("simulated server is listening")
			<-cmd.Context().Done()
			server.Close()
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "", "address to listen on")
	cmd.Flags().IntVar(&params.Cores, "cores", params.Cores, "cores")
	cmd.Flags().Float64Var(&params.Speed, "speed", params.Speed, "speed of a core, 1 as usual")
	cmd.Flags().IntVar(&params.QueueLength, "queue", params.QueueLength, "requests that may wait")
	if err := cmd.MarkFlagRequired("listen"); err != nil {
		panic(fmt.Sprint("box: ", err))
	}
	return cmd
}
