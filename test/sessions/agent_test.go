package sessions_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/guard"
	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
)

const (
	serviceName  = "booking"
	stopTimeout  = 50 * time.Millisecond
	callTimeout  = 60 * time.Millisecond
	lookSlack    = 250 * time.Millisecond
	heartbeatGap = 1500 * time.Millisecond
)

// agentProc is an agent with its backend server.
type agentProc struct {
	process
	name    string
	machine *machine
	guard   *guard.Guard
	nextID  uint64
	calls   map[guard.CallID]func(any)
	conns   map[uint64]*conn
	wakeSeq int
	// record is what the store holds of the server: written a while after it is
	// known, kept over the agent's lives, and stale if the server was replaced.
	record guard.ServerInfo
}

func (w *world) newAgent(i, cpu int) *agentProc {
	a := &agentProc{process: process{w: w}, name: fmt.Sprintf("agent-%d", i)}
	a.machine = &machine{w: w, name: a.name, cpu: cpu, sizes: make(map[string]int), drift: 0.02 * w.rng.Float64()}
	a.machine.rebirth()
	w.agents = append(w.agents, a)
	a.heartbeats()
	a.boot()
	return a
}

// boot starts a new life of the agent.
func (a *agentProc) boot() {
	a.life++
	a.up = true
	a.lag = 0
	a.calls = make(map[guard.CallID]func(any))
	a.conns = make(map[uint64]*conn)
	a.guard = guard.New(guard.Options{
		Agent: a.name, Incarnation: structs.Incarnation(a.w.rng.Uint64() | 1), Zone: "z", Service: serviceName,
		// The time of day may have jumped back between two lives.
		Token: 1_000_000 + int64(a.w.now/time.Millisecond) + int64(a.w.rng.Intn(4000)) - 2000,
		Lease: guard.DefaultLease, SessionTTL: guard.DefaultSessionTTL, RenewalWait: guard.DefaultRenewalWait,
		PollWait: guard.DefaultPollWait, StopTimeout: stopTimeout,
	})
	a.step(guard.Ticked{})
	// The store may be away, or answer before or after the first look.
	if a.w.rng.Intn(4) > 0 {
		record := a.record
		a.afterIn(a.w.between(time.Millisecond, 100*time.Millisecond), func() { a.step(guard.Recalled{Server: record}) })
	}
}

func (a *agentProc) crash() {
	if !a.up {
		return
	}
	a.kill()
	for _, c := range sorted(a.conns) {
		c.breakNow()
	}
	a.w.after(a.w.between(50*time.Millisecond, 400*time.Millisecond), func() {
		if !a.up {
			a.boot()
		}
	})
}

// heartbeats sends the server's heartbeats.
func (a *agentProc) heartbeats() {
	m := a.machine
	m.beat++
	info := guard.ServerInfo{ID: fmt.Sprintf("%s-%d", m.name, m.lives), Incarnation: m.server.Incarnation, Seq: m.beat, Service: serviceName, CPU: m.cpu, MemMB: 1 << 20}
	a.w.after(time.Millisecond, func() { a.in(func() { a.step(guard.ServerReported{Info: info}) }) })
	a.w.after(heartbeatGap, a.heartbeats)
}

func (a *agentProc) step(ev guard.Event) {
	for _, ef := range a.guard.Step(a.steady(), ev) {
		a.carryOut(ef)
	}
	a.wakeSeq++
	seq := a.wakeSeq
	a.afterIn(max(a.guard.NextWake().Sub(a.steady()), time.Millisecond), func() {
		if a.wakeSeq == seq {
			a.step(guard.Ticked{})
		}
	})
}

func (a *agentProc) carryOut(ef guard.Effect) {
	switch ef := ef.(type) {
	case guard.StartRun:
		a.w.note(a.name, "start", ef.Key.String(), ef.Until.String())
		a.order(callTimeout, func() any {
			m := a.machine
			name := taskName(ef.Key.TaskKey)
			m.sizes[name] = taskSize(ef.Spec)
			s := m.sync()
			reason := s.Start(leaseserver.TaskRun{Name: name, Number: ef.Key.Number}, work(ef.Spec), ef.Until, ef.Token)
			return guard.StartReplied{Key: ef.Key, Result: startResult(reason), Clock: s.Clock(), ServerIncarnation: s.Incarnation}
		}, guard.StartReplied{Key: ef.Key})
	case guard.StopRun:
		a.w.note(a.name, "stop", ef.Key.String(), "")
		a.order(callTimeout, func() any {
			s := a.machine.sync()
			ok := s.Stop(leaseserver.TaskRun{Name: taskName(ef.Key.TaskKey), Number: ef.Key.Number}, ef.Token)
			return guard.StopReplied{Key: ef.Key, OK: ok, Clock: s.Clock()}
		}, guard.StopReplied{Key: ef.Key})
	case guard.RenewLease:
		a.look(ef)
	case guard.ReplyHello:
		a.reply(ef.Call, ef.Reply)
	case guard.ReplyOrder:
		a.reply(ef.Call, ef.Reply)
	case guard.ReplyPoll:
		a.reply(ef.Call, ef.Reply)
	case guard.ReplyError:
		a.reply(ef.Call, ef)
	case guard.LogEvent:
		a.w.note(a.name, ef.Event, ef.Task, ef.Entry.String()+" "+ef.Detail)
	case guard.ServerChanged:
		info := ef.Info
		a.w.after(a.w.between(time.Millisecond, 300*time.Millisecond), func() { a.record = info })
	case guard.CloseSession:
		if c := a.conns[ef.Session]; c != nil {
			c.breakNow()
		}
	}
}

func startResult(reason string) guard.StartResult {
	return map[string]guard.StartResult{
		"": guard.StartAccepted, leaseserver.ReasonFenced: guard.StartFenced,
		leaseserver.ReasonNumberUsed: guard.StartNumberUsed, leaseserver.ReasonExpired: guard.StartExpired,
	}[reason]
}

// order carries a call to the server: at once, or late and without an answer.
func (a *agentProc) order(timeout time.Duration, call func() any, unknown guard.Event) {
	w := a.w
	life, lives := a.life, a.machine.lives
	answered := false
	w.after(w.between(100*time.Microsecond, 2*time.Millisecond), func() {
		if w.rng.Float64() < w.lateShare {
			w.counts["late"]++
			w.after(w.between(2*time.Second, 6*time.Second), func() {
				if a.machine.lives == lives {
					call()
				}
			})
			return
		}
		ev := call()
		if w.rng.Float64() < w.lateShare {
			return // the answer is lost
		}
		w.after(w.between(100*time.Microsecond, 2*time.Millisecond), func() {
			if a.life != life || answered {
				return
			}
			answered = true
			a.in(func() { a.step(ev.(guard.Event)) })
		})
	})
	a.afterIn(timeout, func() {
		if !answered {
			answered = true
			a.step(unknown)
		}
	})
}

// look is a call that the server answers when a task has ended, or after the
// wait.
func (a *agentProc) look(ef guard.RenewLease) {
	w := a.w
	life, lives := a.life, a.machine.lives
	answered := false
	fail := func() {
		if a.life == life && !answered {
			answered = true
			a.step(guard.RenewReplied{ID: ef.ID, Reason: "timeout"})
		}
	}
	a.afterIn(ef.Wait+lookSlack, fail)
	if w.rng.Float64() < w.lateShare {
		return
	}
	var deadline time.Duration
	var poll func()
	poll = func() {
		if a.machine.lives != lives {
			return // the connection broke with the server
		}
		s := a.machine.sync()
		ends, ok := s.RenewLease(ef.Until, ef.Token, ef.AckIndex)
		if ok && len(ends) == 0 && w.now < deadline {
			w.after(5*time.Millisecond, poll)
			return
		}
		out := guard.RenewReplied{ID: ef.ID, OK: ok, Fenced: !ok, ServerIncarnation: s.Incarnation, Clock: s.Clock()}
		for _, r := range s.Running() {
			out.Running = append(out.Running, guard.RunningRow{Key: runKey(r.TaskRun), Percent: r.Percent(s.Clock())})
		}
		for _, e := range ends {
			how := map[string]guard.EndOutcome{"done": guard.EndDone, "failed": guard.EndFailed, "stopped": guard.EndStopped}[e.Outcome]
			out.Ended = append(out.Ended, guard.EndRow{Index: e.Index, Key: runKey(e.TaskRun), Outcome: how})
		}
		w.after(w.between(100*time.Microsecond, 2*time.Millisecond), func() {
			if a.life == life && !answered {
				a.in(func() {
					if !answered {
						answered = true
						a.step(out)
					}
				})
			}
		})
	}
	w.after(w.between(100*time.Microsecond, 2*time.Millisecond), func() {
		deadline = w.now + ef.Wait
		poll()
	})
}

func (a *agentProc) reply(call guard.CallID, message any) {
	if f := a.calls[call]; f != nil {
		delete(a.calls, call)
		f(message)
	}
}

func taskName(k guard.TaskKey) string { return k.Job + "." + strconv.Itoa(k.Index) }

func runKey(t leaseserver.TaskRun) guard.RunKey {
	job, index, _ := strings.Cut(t.Name, ".")
	n, _ := strconv.Atoi(index)
	return guard.RunKey{TaskKey: guard.TaskKey{Job: job, Index: n}, Number: t.Number}
}

// A spec in the model is "MS,CPU,HOW".
func work(spec string) leaseserver.Behavior {
	f := strings.Split(spec, ",")
	ms, _ := strconv.Atoi(f[0])
	return leaseserver.Behavior{Duration: time.Duration(ms) * time.Millisecond, Fails: f[2] == "fail", Hangs: f[2] == "hang"}
}

func taskSize(spec string) int {
	n, _ := strconv.Atoi(strings.Split(spec, ",")[1])
	return n
}
