package controller_test

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/controller"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// A fleet of one host, with an in-process store and network. In production, hosts
// use messenger.New and the HTTP adapter of package storer instead.
func Example() {
	ctx := context.Background()
	self := registrar.Member{Name: "a", Incarnation: "a-1", PeerAddress: "10.0.0.1:8490", DataCentre: "kolkata"}
	network := messenger.NewMemory().Host(self.PeerAddress, messenger.Peer{Name: self.Name, Incarnation: self.Incarnation})
	c, err := controller.New(controller.Options{
		Self: self, Store: storer.NewMemory(), Caller: network, Registry: network, Clock: timer.System(),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	c.Start()
	if err := c.Join(ctx); err != nil {
		fmt.Println(err)
		return
	}
	kitchen := registrar.PutWorkspace{Workspace: registrar.Workspace{Name: "kitchen", RatePerSecond: 5, Burst: 10}}
	result, err := c.Change(ctx, "create-kitchen", kitchen)
	fmt.Println("accepted:", result.Accepted, err)

	// Before each effect, check that this host may act for the object now.
	object := coordinator.LimitObject("kitchen")
	owner, _ := c.View().Owner(object)
	fmt.Println("owner:", owner.Name)
	if err := c.Drain(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println("acts after draining:", c.View().Owns(object, c.Now()))
	if err := c.Close(); err != nil {
		fmt.Println(err)
	}
	// Output:
	// accepted: true <nil>
	// owner: a
	// acts after draining: false
}
