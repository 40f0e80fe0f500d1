// Package logging creates the loggers of all programs. Log messages are short sentences;
// each component has a fixed prefix.
package logging

import (
	"fmt"
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Formats of log lines.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Levels of log lines.
const (
	LevelDebug = "debug"
	LevelInfo  = "info"
	LevelError = "error"
)

// New returns a logger that writes to w. prefix names the component.
func New(w io.Writer, format, level, prefix string) (logr.Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Logger{}, fmt.Errorf("log level: %w", err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if format == FormatText {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), minLevel)
	return zapr.NewLogger(zap.New(core)).WithName(prefix), nil
}
