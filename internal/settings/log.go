package settings

import (
	"io"
	"log/slog"
)

// Log configures the log of a process.
type Log struct {
	Format string `yaml:"format" validate:"omitempty,oneof=text json"`
	Level  string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Logger returns a logger that writes to w. The zero Log writes text at level info.
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
