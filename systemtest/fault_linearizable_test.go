package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// registerInput is one operation on a resource: a read, or a put at an expected
// generation.
type registerInput struct {
	write    bool
	expected uint64
	value    int
}

// registerOutput is the result of an operation; unknown if no response came.
type registerOutput struct {
	unknown    bool
	conflict   bool
	generation uint64
	value      int
}

// registerState is the state of the register. After a write whose response was lost,
// its generation is unknown until a read or a write returns it.
type registerState struct {
	generation        uint64
	value             int
	generationUnknown bool
}

// registerModel is a compare-and-set register: each write names the generation that
// it replaces.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		if in.write {
			return stepWrite(s, in, out)
		}
		return stepRead(s, out)
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepRead(s registerState, out registerOutput) []any {
	switch {
	case out.unknown:
		return []any{s}
	case out.value == s.value && (s.generationUnknown || out.generation == s.generation):
		return []any{registerState{generation: out.generation, value: out.value}}
	default:
		return nil
	}
}

func stepWrite(s registerState, in registerInput, out registerOutput) []any {
	mayMatch := s.generationUnknown || in.expected == s.generation
	mayConflict := s.generationUnknown || in.expected != s.generation
	switch {
	case out.unknown && mayMatch:
		return []any{s, registerState{value: in.value, generationUnknown: true}}
	case out.unknown:
		return []any{s}
	case out.conflict && mayConflict:
		return []any{s}
	case !out.conflict && mayMatch:
		return []any{registerState{generation: out.generation, value: in.value}}
	default:
		return nil
	}
}

// TestFaultLinearizable records the history of real stores under kills, freezes and
// partitions, one-way ones included: reads and writes through any store are
// linearizable.
func TestFaultLinearizable(t *testing.T) {
	d := launch(t, smallTopology())
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, call time.Time, in registerInput, out registerOutput) {
		mu.Lock()
		defer mu.Unlock()
		end := time.Now()
		if out.unknown {
			end = end.Add(time.Hour) // the write may still take effect
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call.UnixNano(), Output: out, Return: end.UnixNano()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for client := range 5 {
		group.Go(func() { d.runOperations(ctx, client, record) })
	}
	d.injectFaults(rand.New(rand.NewPCG(4, 4)), 8)
	cancel()
	group.Wait()
	known := 0
	for _, op := range history {
		if !op.Output.(registerOutput).unknown {
			known++
		}
	}
	t.Logf("%d operations, %d with a known result", len(history), known)
	if known < 30 {
		t.Error("too few operations with a known result, want at least 30")
	}
	if got := porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute); got != porcupine.Ok {
		t.Errorf("the history is not linearizable: %s", got)
	}
}

// runOperations reads and writes through randomly chosen stores until ctx ends.
func (d *deployment) runOperations(ctx context.Context, client int, record func(int, time.Time, registerInput, registerOutput)) {
	rnd := rand.New(rand.NewPCG(uint64(client), 9))
	stores := d.storeNodes()
	var seen uint64
	for i := 0; ctx.Err() == nil; i++ {
		n := stores[rnd.IntN(len(stores))]
		call := time.Now()
		if rnd.IntN(2) == 0 {
			out := d.readRegister(n)
			if !out.unknown {
				seen = out.generation
			}
			record(client, call, registerInput{}, out)
			continue
		}
		in := registerInput{write: true, expected: seen, value: client*1000 + i%1000 + 1}
		record(client, call, in, d.writeRegister(n, in))
	}
}

const registerPath = "/v1/resources/ClientClass/register"

func isReason(err error, reason wheelgauge.Reason) bool {
	return err != nil && wheelgauge.AsError(err).Reason() == reason
}

// callOnce calls a store's operator listener without retries.
func (d *deployment) callOnce(n *node, method, query string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := peerhttp.NewClient(nil, writeToken)
	defer client.CloseIdle()
	return client.Call(ctx, method, fmt.Sprintf("%s:%d", n.ip, portStoreOps), registerPath+query, in, out)
}

func (d *deployment) readRegister(n *node) registerOutput {
	var r wheelgauge.Resource
	err := d.callOnce(n, "GET", "", nil, &r)
	if isReason(err, wheelgauge.ReasonNotFound) {
		return registerOutput{}
	}
	if err != nil {
		return registerOutput{unknown: true}
	}
	var s wheelgauge.ClientClassSpec
	if err := json.Unmarshal(r.Spec, &s); err != nil {
		return registerOutput{unknown: true}
	}
	return registerOutput{generation: r.Generation, value: s.Burst}
}

func (d *deployment) writeRegister(n *node, in registerInput) registerOutput {
	var result wheelgauge.ChangeResult
	err := d.callOnce(n, "PUT", fmt.Sprintf("?expected=%d", in.expected), wheelgauge.ClientClassSpec{Burst: in.value}, &result)
	if isReason(err, wheelgauge.ReasonConflict) {
		return registerOutput{conflict: true}
	}
	if err != nil {
		return registerOutput{unknown: true}
	}
	return registerOutput{generation: result.Generation}
}

// injectFaults kills, freezes and partitions stores, one fault at a time.
func (d *deployment) injectFaults(rnd *rand.Rand, faults int) {
	stores := d.storeNodes()
	for range faults {
		a, b := stores[rnd.IntN(len(stores))], stores[rnd.IntN(len(stores))]
		kind := rnd.IntN(4)
		switch kind {
		case 0:
			a.store.kill()
		case 1:
			a.store.freeze()
		case 2:
			d.network.blockOneWay(a.ip, b.ip)
		default:
			d.network.partition([]string{a.ip}, []string{stores[0].ip, stores[1].ip, stores[2].ip})
		}
		time.Sleep(700 * time.Millisecond)
		switch kind {
		case 0:
			d.startStore(a)
		case 1:
			a.store.thaw()
		default:
			d.network.heal()
		}
		time.Sleep(400 * time.Millisecond)
	}
}
