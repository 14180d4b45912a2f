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

func serve(logger newLogger) *cobra.Command {
	var sabotage string
	c := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run an instance until SIGTERM or interrupt",
		Long: `Run an instance with the settings of FILE. SIGTERM or interrupt turns new work away, lets what is in flight
end for as long as the settings say, answers the rest, and exits with 0. A second signal ends it at once.`,
		Example: "  cometpond serve examples/one.sexp\n  cometpond serve --log json /etc/cometpond.sexp",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			sink := logsink.New(c.ErrOrStderr())
			defer sink.Close(logFlush)
			log, err := logger(sink)
			if err != nil {
				return err
			}
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			opt := instance.Options{Log: log}
			if sabotage != "" {
				if opt.Hooks, err = day.ViolationHooks(sabotage); err != nil {
					return err
				}
				log.Warn().Str("rule", sabotage).Msg("this instance breaks a rule on purpose")
			}
			in, err := instance.Start(c.Context(), cfg, opt)
			if err != nil {
				return err
			}
			log.Info().Int("instance", cfg.Self).Str("listen", cfg.Listen).Int("clients", len(cfg.Clients)).Msg("serving")
			<-c.Context().Done()
			log.Info().Dur("at_most", cfg.DrainTimeout).Msg("stopping: what is in flight ends first")
			in.Stop(context.Background())
			return nil
		},
	}
	c.Flags().StringVar(&sabotage, "sabotage", "", "break a rule on purpose, for 'cometpond day'")
	_ = c.Flags().MarkHidden("sabotage")
	return c
}

func check() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file",
		Long:    "Check a settings file. The first mistake is told with file, line and field, and with what would be right.",
		Example: "  cometpond check examples/one.sexp",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: good: instance %d of %d, %d classes, %d plans, %d commands, %d clients\n", args[0],
				cfg.Self, max(1, len(cfg.Instances)), len(cfg.Classes), len(cfg.Plans), len(cfg.Commands), len(cfg.Clients))
			return nil
		},
	}
}

func secret() *cobra.Command {
	return &cobra.Command{
		Use:     "secret",
		Short:   "Read a client's secret from standard input and print it as the settings file holds it",
		Example: "  openssl rand -hex 24 | tee acme.secret | cometpond secret",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, args []string) error {
			line, err := bufio.NewReader(c.InOrStdin()).ReadString('\n')
			if line = strings.TrimRight(line, "\r\n"); line == "" {
				return fmt.Errorf("no secret on standard input, want one line: %w", err)
			}
			fmt.Fprintf(c.OutOrStdout(), "(secret-sha256 \"%x\")\n", config.HashSecret(line))
			return nil
		},
	}
}
