// Package logger writes the log of a process as JSON lines on standard output,
// of a bounded volume and without ever blocking the caller.
package logger

import (
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger at the level, whose lines name the program and the
// instance, and what ends it once all lines are written.
func New(level, program, instance string) (*zap.Logger, func(), error) {
	return newTo(os.Stdout, level, program, instance)
}

func newTo(out io.Writer, level, program, instance string) (*zap.Logger, func(), error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.StringDurationEncoder
	encoding.TimeKey = "at"
	encoding.StacktraceKey = zapcore.OmitKey
	encoding.CallerKey = zapcore.OmitKey
	r := newRing(out, ringLines, linesPerSecond)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), r, parsed)
	log := zap.New(core).With(zap.String("program", program), zap.String("instance", instance))
	r.report = func(lost int64, within time.Duration) {
		log.Warn("log lines lost", zap.Int64("count", lost), zap.Duration("within", within))
	}
	go r.run()
	return log, r.close, nil
}
