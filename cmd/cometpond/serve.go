package main

import (
	"bufio"
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"cometpond/internal/config"
	"cometpond/internal/day"
	"cometpond/internal/instance"
	"cometpond/internal/logsink"
)

// serveCommand runs an instance of the gateway.
func serveCommand(logger newLogger) *cobra.Command {
	var sabotage string
	cmd := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run an instance until SIGTERM or interrupt",
		Long: `Run an instance with the settings of FILE. After SIGTERM or interrupt it refuses new requests, lets those in flight end
within the drain time of the settings, answers the remaining ones, and exits with 0. A second signal ends it at once.`,
		Example: "  cometpond serve examples/one.sexp\n  cometpond serve --log json /etc/cometpond.sexp",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			sink := logsink.New(cmd.ErrOrStderr())
			defer sink.Close(logFlushTimeout)
			log, err := logger(sink)
			if err != nil {
				return err
			}
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			options := instance.Options{Log: log}
			if sabotage != "" {
				if options.Hooks, err = day.ViolationHooks(sabotage); err != nil {
					return err
				}
				log.Warn().Str("rule", sabotage).Msg("this instance breaks a rule on purpose")
			}
			running, err := instance.Start(cmd.Context(), cfg, options)
			if err != nil {
				return err
			}
			log.Info().Int("instance", cfg.Self).Str("listen", cfg.Listen).Int("clients", len(cfg.Clients)).Msg("serving")
			<-cmd.Context().Done()
			log.Info().Dur("at_most", cfg.DrainTimeout).Msg("shutting down; waiting for requests in flight")
			running.Stop(context.Background())
			return nil
		},
	}
	cmd.Flags().StringVar(&sabotage, "sabotage", "", "break a rule on purpose, for 'cometpond day'")
	_ = cmd.Flags().MarkHidden("sabotage")
	return cmd
}

// checkCommand checks a settings file.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file",
		Long:    "Check a settings file. The first error is reported with file, line, field and the valid values.",
		Example: "  cometpond check examples/one.sexp",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: instance %d of %d, %d classes, %d plans, %d commands, %d clients\n", args[0],
				cfg.Self, max(1, len(cfg.Instances)), len(cfg.Classes), len(cfg.Plans), len(cfg.Commands), len(cfg.Clients))
			return nil
		},
	}
}

// secretCommand hashes a client's secret for the settings file.
func secretCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "secret",
		Short:   "Read a client's secret from standard input and print its entry for the settings file",
		Example: "  openssl rand -hex 24 | tee acme.secret | cometpond secret",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			line, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			if line = strings.TrimRight(line, "\r\n"); line == "" {
				return fmt.Errorf("no secret on standard input, want one line: %w", err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "(secret-sha256 \"%x\")\n", config.HashSecret(line))
			return nil
		},
	}
}
