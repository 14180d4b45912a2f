// Package netlog hands gnet's words to the program's log.
package netlog

import "github.com/rs/zerolog"

// Logger is a zerolog logger in the form that gnet asks for. What gnet tells of single connections is for
// debugging; what it can't recover from is an error.
type Logger struct{ Log zerolog.Logger }

func (l Logger) Debugf(format string, args ...any) { l.Log.Debug().Msgf(format, args...) }
func (l Logger) Infof(format string, args ...any)  { l.Log.Debug().Msgf(format, args...) }
func (l Logger) Warnf(format string, args ...any)  { l.Log.Debug().Msgf(format, args...) }
func (l Logger) Errorf(format string, args ...any) { l.Log.Warn().Msgf(format, args...) }
func (l Logger) Fatalf(format string, args ...any) { l.Log.Error().Msgf(format, args...) }
