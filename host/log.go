package host

import (
	"io"
	"log/slog"

	"monsoonferry.org/ferry/conf"
)

// Logger is a logger with an adjustable level.
type Logger struct {
	Log   *slog.Logger
	Level *slog.LevelVar
}

// NewLogger returns a logger with the level and format of the settings.
func NewLogger(settings conf.Settings, w io.Writer) Logger {
	level := &slog.LevelVar{}
	level.Set(settings.LogLevel)
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if settings.LogFormat == conf.LogJSON {
		handler = slog.NewJSONHandler(w, options)
	}
	return Logger{Log: slog.New(handler).With(slog.String("vm", string(settings.ID))), Level: level}
}
