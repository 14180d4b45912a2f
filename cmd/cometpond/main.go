// Command cometpond is an API gateway that keeps quotas and priorities over a fleet of instances.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go func() { // from here on a second signal is not caught and ends the process at once
		<-ctx.Done()
		stop()
	}()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cometpond:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command line with all its commands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "cometpond",
		Short:         "An API gateway that keeps quotas and priorities over a fleet of instances",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var format, level string
	cmd.PersistentFlags().StringVar(&format, "log", "console", "form of the log: console or json")
	cmd.PersistentFlags().StringVar(&level, "log-level", "info", "minimum level that is logged: debug, info, warn or error")
	logger := func(output io.Writer) (zerolog.Logger, error) {
		parsedLevel, err := zerolog.ParseLevel(level)
		if err != nil {
			return zerolog.Logger{}, fmt.Errorf("log-level %q: want debug, info, warn or error", level)
		}
		zerolog.TimeFieldFormat = logTimeFormat
		switch format {
		case "console":
			output = zerolog.ConsoleWriter{Out: output, NoColor: true, TimeFormat: "15:04:05.000000"}
		case "json":
		default:
			return zerolog.Logger{}, fmt.Errorf("log %q: want console or json", format)
		}
		return zerolog.New(output).Level(parsedLevel).With().Timestamp().Logger(), nil
	}
	cmd.AddCommand(serveCommand(logger), edgeCommand(logger), checkCommand(), boxCommand(logger), secretCommand(), dayCommand(logger))
	return cmd
}

// logTimeFormat has microseconds, so that events within one second can be ordered.
const logTimeFormat = "2006-01-02T15:04:05.000000Z07:00"

// logFlushTimeout bounds the time to write the remaining log lines on exit.
const logFlushTimeout = 500 * time.Millisecond

// newLogger creates the logger that the flags ask for.
type newLogger func(io.Writer) (zerolog.Logger, error)
