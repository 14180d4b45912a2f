package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cometpond/internal/edge"
	"cometpond/internal/logsink"
)

func edgeCommand(logger newLogger) *cobra.Command {
	return &cobra.Command{
		Use:   "edge",
		Short: "Run as an ingress of the platform until SIGTERM",
		Long: `Run as an ingress of the platform, with the configuration that EDGE_CONFIG names. SIGHUP reads that file again and
follows the list of backends from the address it then names. SIGTERM serves on until clients have moved elsewhere and all
that was taken is answered, and exits with 0.`,
		Example: "  EDGE_CONFIG=/run/balancer/config.json cometpond edge",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP) // from the first moment: uncaught, both would end the process
			signal.Notify(term, syscall.SIGTERM, os.Interrupt)
			sink := logsink.New(c.ErrOrStderr())
			defer sink.Close(logFlush)
			log, err := logger(sink)
			if err != nil {
				return err
			}
			return edge.Run(os.Getenv, hup, term, log)
		},
	}
}
