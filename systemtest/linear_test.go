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

// registerInput is one operation on a resource: a read, or a put at a generation.
type registerInput struct {
	write    bool
	expected uint64
	value    int
}

// registerOutput is its answer; unknown when none came.
type registerOutput struct {
	unknown    bool
	conflict   bool
	generation uint64
	value      int
}

// registerState is the register. After a write whose answer was lost, its
// generation is not known until a read or a write shows it.
type registerState struct {
	generation uint64
	value      int
	open       bool
}

// registerModel is a register whose writes name the generation they replace.
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
	case out.value == s.value && (s.open || out.generation == s.generation):
		return []any{registerState{generation: out.generation, value: out.value}}
	default:
		return nil
	}
}

func stepWrite(s registerState, in registerInput, out registerOutput) []any {
	mayFit := s.open || in.expected == s.generation
	mayNot := s.open || in.expected != s.generation
	switch {
	case out.unknown && mayFit:
		return []any{s, registerState{value: in.value, open: true}}
	case out.unknown:
		return []any{s}
	case out.conflict && mayNot:
		return []any{s}
	case !out.conflict && mayFit:
		return []any{registerState{generation: out.generation, value: in.value}}
	default:
		return nil
	}
}

// TestFaultLinear checks the histories of real stores under kills, freezes and
// one-way cuts: reads and writes through any store are linearizable.
func TestFaultLinear(t *testing.T) {
	d := launch(t, smallShape())
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(client int, call time.Time, in registerInput, out registerOutput) {
		mu.Lock()
		defer mu.Unlock()
		end := time.Now()
		if out.unknown {
			end = end.Add(time.Hour) // it may still take effect
		}
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call.UnixNano(), Output: out, Return: end.UnixNano()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for client := range 5 {
		group.Go(func() { d.operate(ctx, client, record) })
	}
	d.shake(rand.New(rand.NewPCG(4, 4)), 8)
	cancel()
	group.Wait()
	known := 0
	for _, op := range history {
		if !op.Output.(registerOutput).unknown {
			known++
		}
	}
	t.Logf("%d operations, %d with a known answer", len(history), known)
	if known < 30 {
		t.Error("too few operations to prove anything")
	}
	if got := porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute); got != porcupine.Ok {
		t.Errorf("the history is not linearizable: %s", got)
	}
}

// operate reads and writes through one store after the other.
func (d *deployment) operate(ctx context.Context, client int, record func(int, time.Time, registerInput, registerOutput)) {
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

// once calls a store's operator listener one time, without resending.
func (d *deployment) once(n *node, method, query string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	client := peerhttp.NewClient(nil, writeToken)
	defer client.CloseIdle()
	return client.Call(ctx, method, fmt.Sprintf("%s:%d", n.ip, portStoreOps), registerPath+query, in, out)
}

func (d *deployment) readRegister(n *node) registerOutput {
	var r wheelgauge.Resource
	err := d.once(n, "GET", "", nil, &r)
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
	err := d.once(n, "PUT", fmt.Sprintf("?expected=%d", in.expected), wheelgauge.ClientClassSpec{Burst: in.value}, &result)
	if isReason(err, wheelgauge.ReasonConflict) {
		return registerOutput{conflict: true}
	}
	if err != nil {
		return registerOutput{unknown: true}
	}
	return registerOutput{generation: result.Generation}
}

// shake kills, freezes and cuts stores, one trouble after the other.
func (d *deployment) shake(rnd *rand.Rand, troubles int) {
	stores := d.storeNodes()
	for range troubles {
		a, b := stores[rnd.IntN(len(stores))], stores[rnd.IntN(len(stores))]
		kind := rnd.IntN(4)
		switch kind {
		case 0:
			a.store.kill()
		case 1:
			a.store.freeze()
		case 2:
			d.net.cutWay(a.ip, b.ip)
		default:
			d.net.cutBoth([]string{a.ip}, []string{stores[0].ip, stores[1].ip, stores[2].ip})
		}
		time.Sleep(700 * time.Millisecond)
		switch kind {
		case 0:
			d.startStore(a)
		case 1:
			a.store.thaw()
		default:
			d.net.heal()
		}
		time.Sleep(400 * time.Millisecond)
	}
}
