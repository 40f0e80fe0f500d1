// Package logging builds the loggers of all programs: short sentences, one
// fixed prefix per part, text or JSON.
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

// New returns a logger that writes to w. prefix names the part.
func New(w io.Writer, format, level, prefix string) (logr.Logger, error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return logr.Logger{}, fmt.Errorf("log level: %w", err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(config)
	if format == FormatText {
		encoder = zapcore.NewConsoleEncoder(config)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), at)
	return zapr.NewLogger(zap.New(core)).WithName(prefix), nil
}
