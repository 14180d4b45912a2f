package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"time"

	"github.com/spf13/cobra"

	"cometpond/internal/day"
)

var errBroken = errors.New("a rule was broken")

func dayCommand(logger newLogger) *cobra.Command {
	var rate float64
	var span time.Duration
	var sabotage, bench, front string
	var verbose bool
	c := &cobra.Command{
		Use:   "day [SCRIPT]",
		Short: "Play a day of trouble on loopback and judge it from the sockets",
		Long: `Start instances as processes of their own, boxes in rooms, a discovery server and clients, all on loopback, and
play a script of trouble: the built-in one, SCRIPT, or the troubles of a day that the bench has drawn. An auditor
judges the five rules from what clients, boxes and discovery saw on their sockets. Exit code 0 only if all held.`,
		Example: `  cometpond day
  cometpond day --rate 1000 --for 60s
  cometpond day --sabotage drain      # one instance rule broken on purpose: the verdict must name it
  cometpond day --from-bench day.json
  cometpond day --front both`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			log, err := logger(c.ErrOrStderr())
			if err != nil {
				return err
			}
			s := day.Builtin()
			switch {
			case len(args) == 1 && bench != "":
				return errors.New("a script and --from-bench: want one of them")
			case len(args) == 1:
				s, err = day.LoadScript(args[0])
			case bench != "":
				var notes []string
				if s, notes, err = day.FromBench(bench); err == nil {
					for _, n := range notes {
						fmt.Fprintln(c.OutOrStdout(), "note:", n)
					}
				}
			}
			if err != nil {
				return err
			}
			if rate > 0 {
				s.Rate = rate
			}
			if span > 0 {
				s.ScaleTo(span)
			}
			if sabotage != "" {
				if _, err := day.ViolationHooks(sabotage); err != nil {
					return err
				}
			}
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("day: %w", err)
			}
			opt := day.Options{Log: log, Front: front, Serve: func(file string) *exec.Cmd {
				args := []string{"serve", file, "--log-level", "warn"}
				if sabotage != "" {
					args = append(args, "--sabotage", sabotage)
				}
				return exec.Command(self, args...)
			}}
			if verbose {
				opt.Output = c.ErrOrStderr()
			}
			v, err := day.Run(c.Context(), s, opt)
			if err != nil {
				return err
			}
			if err := v.Write(c.OutOrStdout()); err != nil {
				return err
			}
			if !v.Kept() {
				return errBroken
			}
			return nil
		},
	}
	c.Flags().Float64Var(&rate, "rate", 0, "requests a second in place of the script's")
	c.Flags().DurationVar(&span, "for", 0, "length of the day in place of the script's; its troubles move along")
	c.Flags().StringVar(&sabotage, "sabotage", "", "have the instances break one rule: drain, repeat, lost, ceiling or cold; or lose input")
	c.Flags().StringVar(&bench, "from-bench", "", "play the troubles of a day drawn with lbsim draw")
	c.Flags().StringVar(&front, "front", "resp", "what clients speak: resp, grpc or both")
	c.Flags().BoolVar(&verbose, "verbose", false, "show what the instances print")
	return c
}
