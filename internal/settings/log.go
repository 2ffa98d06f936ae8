package settings

import (
	"io"
	"log/slog"
)

// Log holds the settings of a process's log.
type Log struct {
	Format string `yaml:"format" validate:"omitempty,oneof=text json"`
	Level  string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Logger returns a logger that writes to w. If l is the zero value, it writes text from level info on.
func (l Log) Logger(w io.Writer) *slog.Logger {
	var level slog.Level
	if l.Level != "" {
		_ = level.UnmarshalText([]byte(l.Level))
	}
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
