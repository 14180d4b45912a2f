package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cometpond/internal/edge"
	"cometpond/internal/logsink"
)

// edgeCommand runs an ingress with the configuration that the environment names.
func edgeCommand(logger newLogger) *cobra.Command {
	return &cobra.Command{
		Use:   "edge",
		Short: "Run as an ingress of the platform until SIGTERM",
		Long: `Run as an ingress of the platform, with the configuration that EDGE_CONFIG names. SIGHUP reads that file again and
follows the list of backends from the address it then names. After SIGTERM the process continues to serve until clients
have moved to other instances and all accepted requests are answered, and then exits with 0.`,
		Example: "  EDGE_CONFIG=/run/balancer/config.json cometpond edge",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reloadSignals, stopSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
			signal.Notify(reloadSignals, syscall.SIGHUP) // first, since either signal ends the process while it is not caught
			signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
			sink := logsink.New(cmd.ErrOrStderr())
			defer sink.Close(logFlushTimeout)
			log, err := logger(sink)
			if err != nil {
				return err
			}
			return edge.Run(os.Getenv, reloadSignals, stopSignals, log)
		},
	}
}
