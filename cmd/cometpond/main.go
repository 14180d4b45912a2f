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
	go func() { // a second signal is not caught: it ends the process at once
		<-ctx.Done()
		stop()
	}()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cometpond:", err)
		os.Exit(1)
	}
}

// root is the command line.
func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "cometpond",
		Short:         "An API gateway that keeps quotas and priorities over a fleet of instances",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	var format, level string
	c.PersistentFlags().StringVar(&format, "log", "console", "form of the log: console or json")
	c.PersistentFlags().StringVar(&level, "log-level", "info", "least level that is logged: debug, info, warn or error")
	logger := func(w io.Writer) (zerolog.Logger, error) {
		lv, err := zerolog.ParseLevel(level)
		if err != nil {
			return zerolog.Logger{}, fmt.Errorf("log-level %q: want debug, info, warn or error", level)
		}
		zerolog.TimeFieldFormat = timeFormat
		switch format {
		case "console":
			w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: "15:04:05.000000"}
		case "json":
		default:
			return zerolog.Logger{}, fmt.Errorf("log %q: want console or json", format)
		}
		return zerolog.New(w).Level(lv).With().Timestamp().Logger(), nil
	}
	c.AddCommand(serve(logger), edgeCommand(logger), check(), box(logger), secret(), dayCommand(logger))
	return c
}

// timeFormat tells events of one second apart.
const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// logFlush is how long the last lines of the log may take at the end.
const logFlush = 500 * time.Millisecond

type newLogger func(io.Writer) (zerolog.Logger, error)
