//go:build wireinject

package main

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/wire"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/host"
	"monsoonferry.org/ferry/peer"
	"monsoonferry.org/ferry/store"
)

// newHost assembles the process that the settings describe.
func newHost(settings conf.Settings, w io.Writer) (*host.Host, error) {
	wire.Build(
		ferry.NewSystemClock, wire.Bind(new(ferry.Clock), new(ferry.SystemClock)),
		wire.FieldsOf(new(conf.Settings), "Platform"),
		store.NewClient, wire.Bind(new(ferry.Store), new(*store.Client)),
		wire.Struct(new(peer.TCPDialer)), wire.Bind(new(ferry.Dialer), new(peer.TCPDialer)),
		host.NewLogger, metrics.NewSet, host.New,
	)
	return nil, nil
}
