// Package logger writes the log of a process as JSON lines to standard output. It
// limits the rate of lines, apart for warnings and errors, and never blocks the
// caller; excess lines are dropped and counted.
package logger

import (
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger whose lines carry the program and the instance, and a
// function that blocks until all queued lines are written and then stops the
// logger. The error reports an unknown level.
func New(level, program, instance string) (*zap.Logger, func(), error) {
	return newWithOutput(os.Stdout, level, program, instance)
}

func newWithOutput(out io.Writer, level, program, instance string) (*zap.Logger, func(), error) {
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
	writer := newAsyncWriter(out, maxQueuedLines)
	below := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= parsed && l < zapcore.WarnLevel })
	warnings := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= parsed && l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		zapcore.NewCore(zapcore.NewJSONEncoder(encoding), writer.newLane(maxLinesPerSecond), below),
		zapcore.NewCore(zapcore.NewJSONEncoder(encoding), writer.newLane(maxWarningsPerSecond), warnings),
	)
	log := zap.New(core).With(zap.String("program", program), zap.String("instance", instance))
	writer.report = func(dropped int64, window time.Duration) {
		log.Warn("log lines lost", zap.Int64("count", dropped), zap.Duration("within", window))
	}
	go writer.run()
	return log, writer.close, nil
}
