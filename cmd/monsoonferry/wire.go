//go:build wireinject

package main

import (
	"io"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/wire"

	"monsoonferry.org/ferry"
	"monsoonferry.org/ferry/conf"
	"monsoonferry.org/ferry/host"
	"monsoonferry.org/ferry/node"
	"monsoonferry.org/ferry/peer"
	"monsoonferry.org/ferry/platform"
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

// newNode assembles a VM with the platform's store, records and headers.
func newNode(settings conf.NodeSettings, log *slog.Logger) *node.Node {
	wire.Build(
		node.NewBootClock, wire.Bind(new(ferry.Clock), new(node.BootClock)),
		wire.FieldsOf(new(conf.NodeSettings), "Store"),
		platform.NewClient, wire.Bind(new(ferry.RecordStore), new(*platform.Client)),
		wire.Struct(new(platform.RecordDecoder)), wire.Bind(new(ferry.RecordDecoder), new(platform.RecordDecoder)),
		wire.Struct(new(platform.Dialect)), wire.Bind(new(ferry.Dialect), new(platform.Dialect)),
		newHandlers, wire.Struct(new(node.Dependencies), "*"), node.New,
	)
	return nil
}
