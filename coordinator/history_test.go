package coordinator_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// command is an operator's command for one key: create it if it does not exist, or
// withdraw it if it does. Both are compare-and-swap operations.
type command struct {
	key    string
	create bool
}

// commandResult is the result that the operator received.
type commandResult uint8

const (
	commandDone commandResult = iota + 1
	commandRefused
	commandUnknown
)

// keyModel is the sequential model: one boolean for each key, whether it exists.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(command).key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, h := range byKey {
			out = append(out, h)
		}
		return out
	},
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		exists, c := state.(bool), input.(command)
		applicable := exists != c.create
		switch output.(commandResult) {
		case commandDone:
			if applicable {
				return []any{c.create}
			}
			return nil
		case commandRefused:
			if applicable {
				return nil
			}
			return []any{exists}
		}
		if applicable {
			return []any{exists, c.create}
		}
		return []any{exists}
	},
}

// history records the operators' commands of one simulation.
type history struct {
	s          *simulation
	operations []porcupine.Operation
}

// run sends a command to host and records its call and its return.
func (h *history) run(host *process, id int, c command) {
	i := len(h.operations)
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: id, Input: c, Call: h.s.now, Output: commandUnknown, Return: math.MaxInt64,
	})
	token := host.expect(func(v any) { h.recordResult(i, v.(coordinator.FinishChange)) })
	h.s.event(host, func(now timer.Millis) coordinator.Event {
		return coordinator.ChangeRequested{
			At: now, Token: token, ID: fmt.Sprint("command-", id), Change: c.change(),
			Deadline: now + 8*timer.Second,
		}
	})
}

func (h *history) recordResult(i int, f coordinator.FinishChange) {
	switch {
	case f.Err == nil:
		h.operations[i].Output, h.operations[i].Return = commandDone, h.s.now
	case isRefused(f.Err):
		h.operations[i].Output, h.operations[i].Return = commandRefused, h.s.now
	}
}

// describe lists the commands for the message of a failed run.
func (h *history) describe() string {
	out := ""
	for i, o := range h.operations {
		out += fmt.Sprintf("\n%d %+v from %d to %d: %d", i, o.Input, o.Call/microsPerMilli, o.Return/microsPerMilli, o.Output)
	}
	return out
}

func isRefused(err error) bool {
	_, ok := err.(*registrar.RefusedError)
	return ok
}

func (c command) change() registrar.Change {
	if c.create {
		return registrar.GiveKey{Key: registrar.Key{ID: c.key, Workspace: "w"}}
	}
	return registrar.WithdrawKey{KeyID: c.key}
}

func TestOperatorsHistoriesAreLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), "a1", "a2", "b1", "b2", "c1")
		s.run(10 * timer.Second)
		s.change(s.hosts["a1"], "w", putWorkspace("w"))
		s.run(2 * timer.Second)
		s.lossPercent = rapid.IntRange(0, 10).Draw(rt, "loss")
		h := &history{s: s}
		for i := range 40 {
			s.loseWriteResponses = s.random.IntN(2)
			if s.random.IntN(12) == 0 {
				s.storeDown = !s.storeDown
			}
			host := s.hosts[s.names[s.random.IntN(len(s.names))]]
			h.run(host, i, command{fmt.Sprint(s.random.IntN(3)), s.random.IntN(2) == 0})
			s.run(timer.Millis(s.random.IntN(300)))
		}
		s.heal()
		s.run(20 * timer.Second)
		require.Empty(rt, s.violation)
		require.True(rt, porcupine.CheckOperations(keyModel.ToModel(), h.operations), h.describe())
	})
}

func TestBrokenHistoryIsRejected(t *testing.T) {
	create := command{"k", true}
	broken := []porcupine.Operation{
		{ClientId: 0, Input: create, Call: 0, Output: commandDone, Return: 10},
		{ClientId: 1, Input: create, Call: 20, Output: commandDone, Return: 30},
	}
	require.False(t, porcupine.CheckOperations(keyModel.ToModel(), broken))
	broken[1].Output = commandRefused
	require.True(t, porcupine.CheckOperations(keyModel.ToModel(), broken))
}
