package sessions_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/standin/leaseserver"
	"github.com/chestnuthollow/chestnuthollow/structs"
	"github.com/chestnuthollow/chestnuthollow/taskrunner"
)

const (
	serviceName          = "booking"
	stopTimeout          = 50 * time.Millisecond
	callTimeout          = 60 * time.Millisecond
	renewalTimeoutMargin = 250 * time.Millisecond
	heartbeatInterval    = 1500 * time.Millisecond
)

// agentProc is a simulated agent process with its backend server.
type agentProc struct {
	process
	name    string
	machine *machine
	runner  *taskrunner.Runner
	nextID  uint64
	calls   map[taskrunner.CallID]func(any)
	conns   map[uint64]*conn
	wakeSeq int
	// storedRecord is the record of the server in the store. It is written some time
	// after the server has reported itself, outlives the agent process, and is stale
	// after the server was replaced.
	storedRecord taskrunner.ServerInfo
}

func (sim *simulation) newAgent(i, cpu int) *agentProc {
	a := &agentProc{process: process{sim: sim}, name: fmt.Sprintf("agent-%d", i)}
	a.machine = &machine{sim: sim, name: a.name, cpu: cpu, rack: fmt.Sprint("rack-", i%2), cpuByTask: make(map[string]int), label: "a", drift: 0.02 * sim.rng.Float64(), keepsID: i%2 == 1}
	a.machine.restart()
	sim.agents = append(sim.agents, a)
	a.sendHeartbeats()
	a.start()
	return a
}

// start starts a new incarnation of the agent.
func (a *agentProc) start() {
	a.generation++
	a.up = true
	a.calls = make(map[taskrunner.CallID]func(any))
	a.conns = make(map[uint64]*conn)
	a.runner = taskrunner.New(taskrunner.Options{
		Agent: a.name, Incarnation: structs.Incarnation(a.sim.rng.Uint64() | 1), Zone: "z", Service: serviceName,
		// The wall clock may have been set back between two incarnations.
		Token: 1_000_000 + int64(a.sim.now/time.Millisecond) + int64(a.sim.rng.Intn(4000)) - 2000,
		Lease: taskrunner.DefaultLease, SessionTTL: taskrunner.DefaultSessionTTL, RenewalWait: taskrunner.DefaultRenewalWait,
		PollWait: taskrunner.DefaultPollWait, StopTimeout: stopTimeout, LeaseMax: time.Second,
	})
	a.step(taskrunner.Ticked{})
	// The store may be unavailable, or reply before or after the first lease renewal.
	if a.sim.rng.Intn(4) > 0 {
		storedRecord := a.storedRecord
		a.deliverAfter(a.sim.draw(time.Millisecond, 100*time.Millisecond), func() { a.step(taskrunner.RecordLoaded{Server: storedRecord}) })
	}
}

func (a *agentProc) crash() {
	if !a.up {
		return
	}
	a.kill()
	for _, c := range sorted(a.conns) {
		c.disconnect()
	}
	a.sim.after(a.sim.draw(50*time.Millisecond, 400*time.Millisecond), func() {
		if !a.up {
			a.start()
		}
	})
}

// sendHeartbeats sends a heartbeat of the server and schedules the next one.
func (a *agentProc) sendHeartbeats() {
	m := a.machine
	if m.down {
		a.sim.after(heartbeatInterval/10, a.sendHeartbeats)
		return
	}
	m.heartbeatSeq++
	info := taskrunner.ServerInfo{ID: m.id(), Incarnation: m.server.Incarnation, Seq: m.heartbeatSeq, Service: serviceName, CPU: m.cpu, MemMB: 1 << 20, Labels: []string{m.label, m.rack}, Rack: m.rack}
	a.sim.after(time.Millisecond, func() { a.deliver(func() { a.step(taskrunner.ServerReported{Info: info}) }) })
	a.sim.after(heartbeatInterval, a.sendHeartbeats)
}

func (a *agentProc) step(ev taskrunner.Event) {
	// An agent's clock counts the time in which the machine is suspended.
	now := epoch.Add(a.sim.now)
	for _, ef := range a.runner.Step(now, ev) {
		a.carryOut(ef)
	}
	a.wakeSeq++
	seq := a.wakeSeq
	a.deliverAfter(max(a.runner.NextWake().Sub(now), time.Millisecond), func() {
		if a.wakeSeq == seq {
			a.step(taskrunner.Ticked{})
		}
	})
}

func (a *agentProc) carryOut(ef taskrunner.Effect) {
	switch ef := ef.(type) {
	case taskrunner.StartTask:
		a.sim.traceEvent(a.name, "start", ef.Key.String(), ef.Until.String())
		a.callServer(callTimeout, func() any {
			m := a.machine
			name := taskName(ef.Key.TaskKey)
			m.cpuByTask[name] = taskCPU(ef.Spec)
			s := m.advance()
			if m.down {
				return taskrunner.StartReplied{Key: ef.Key}
			}
			if m.declines() {
				return taskrunner.StartReplied{Key: ef.Key, Result: taskrunner.StartDeclined}
			}
			if ef.ServerID != "" && ef.ServerID != m.id() {
				return taskrunner.StartReplied{Key: ef.Key, Result: taskrunner.StartOtherServer, Clock: s.Clock(), ServerIncarnation: s.Incarnation}
			}
			m.starting = owner(ef.Spec)
			reason := s.Start(leaseserver.TaskRun{Name: name, Number: ef.Key.Number}, behavior(ef.Spec), ef.Until, ef.Token)
			return taskrunner.StartReplied{Key: ef.Key, Result: startResult(reason), Clock: s.Clock(), ServerIncarnation: s.Incarnation}
		}, taskrunner.StartReplied{Key: ef.Key})
	case taskrunner.StopTask:
		a.sim.traceEvent(a.name, "stop", ef.Key.String(), "")
		a.callServer(callTimeout, func() any {
			s := a.machine.advance()
			if a.machine.down || a.machine.declines() || a.sim.now < a.machine.stopsDecliningUntil {
				return taskrunner.StopReplied{Key: ef.Key, Known: ef.Known}
			}
			ok := s.Stop(leaseserver.TaskRun{Name: taskName(ef.Key.TaskKey), Number: ef.Key.Number}, ef.Token)
			return taskrunner.StopReplied{Key: ef.Key, OK: ok, Clock: s.Clock(), Known: ef.Known}
		}, taskrunner.StopReplied{Key: ef.Key, Known: ef.Known})
	case taskrunner.RenewLease:
		a.renewLease(ef)
	case taskrunner.ReplyHello:
		a.reply(ef.Call, ef.Reply)
	case taskrunner.ReplyOrder:
		a.reply(ef.Call, ef.Reply)
	case taskrunner.ReplyPoll:
		a.reply(ef.Call, ef.Reply)
	case taskrunner.ReplyError:
		a.reply(ef.Call, ef)
	case taskrunner.LogEvent:
		a.sim.traceEvent(a.name, ef.Event, ef.Task, ef.Entry.String()+" "+ef.Detail)
	case taskrunner.ServerChanged:
		info := ef.Info
		a.sim.after(a.sim.draw(time.Millisecond, 300*time.Millisecond), func() { a.storedRecord = info })
	case taskrunner.CloseSession:
		if c := a.conns[ef.Session]; c != nil {
			c.disconnect()
		}
	}
}

func startResult(reason string) taskrunner.StartResult {
	return map[string]taskrunner.StartResult{
		"": taskrunner.StartAccepted, leaseserver.ReasonFenced: taskrunner.StartFenced,
		leaseserver.ReasonNumberUsed: taskrunner.StartNumberUsed, leaseserver.ReasonExpired: taskrunner.StartExpired,
	}[reason]
}

// callServer transmits a call to the server. The server carries it out at once, or
// late and without a reply; a reply may also be lost. Without a reply within the
// timeout, the agent processes the event unknown.
func (a *agentProc) callServer(timeout time.Duration, call func() any, unknown taskrunner.Event) {
	sim := a.sim
	generation, incarnations := a.generation, a.machine.incarnations
	answered := false
	sim.after(sim.draw(100*time.Microsecond, 2*time.Millisecond), func() {
		if a.machine.silent {
			return
		}
		if a.machine.down {
			if a.generation == generation && !answered {
				answered = true
				a.deliver(func() { a.step(unknown) })
			}
			return
		}
		if sim.rng.Float64() < sim.delayedCallShare {
			sim.counts["late"]++
			sim.after(sim.draw(2*time.Second, 6*time.Second), func() {
				if a.machine.incarnations == incarnations && !a.machine.down {
					call()
				}
			})
			return
		}
		ev := call()
		if sim.rng.Float64() < sim.delayedCallShare {
			return // the reply is lost
		}
		sim.after(sim.draw(100*time.Microsecond, 2*time.Millisecond), func() {
			if a.generation != generation || answered {
				return
			}
			answered = true
			a.deliver(func() { a.step(ev.(taskrunner.Event)) })
		})
	})
	a.deliverAfter(timeout, func() {
		if !answered {
			answered = true
			a.step(unknown)
		}
	})
}

// renewLease transmits a lease renewal. The server replies when a task has ended, or
// after the requested wait.
func (a *agentProc) renewLease(ef taskrunner.RenewLease) {
	sim := a.sim
	generation, incarnations := a.generation, a.machine.incarnations
	answered := false
	fail := func(reason string, refused bool) {
		if a.generation == generation && !answered {
			answered = true
			a.step(taskrunner.RenewReplied{ID: ef.ID, Reason: reason, Refused: refused})
		}
	}
	a.deliverAfter(ef.Wait+renewalTimeoutMargin, func() { fail("timeout", false) })
	if sim.rng.Float64() < sim.delayedCallShare {
		return
	}
	var deadline time.Duration
	var poll func()
	poll = func() {
		if a.machine.incarnations != incarnations {
			return // the server has restarted, which breaks the connection
		}
		s := a.machine.advance()
		if a.machine.silent {
			return
		}
		if a.machine.down {
			a.deliver(func() { fail("connection reset", false) })
			return
		}
		ends, ok := s.RenewLease(ef.Until, ef.Token, ef.AckIndex)
		if ok && len(ends) == 0 && sim.now < deadline {
			sim.after(5*time.Millisecond, poll)
			return
		}
		out := taskrunner.RenewReplied{ID: ef.ID, OK: ok, Fenced: !ok, ServerIncarnation: s.Incarnation, Clock: s.Clock()}
		for _, r := range s.Running() {
			out.Running = append(out.Running, taskrunner.RunningRow{Key: runKey(r.TaskRun), Percent: r.Percent(s.Clock())})
		}
		for _, e := range ends {
			outcome := map[string]taskrunner.EndOutcome{"done": taskrunner.EndDone, "failed": taskrunner.EndFailed, "stopped": taskrunner.EndStopped}[e.Outcome]
			out.Ended = append(out.Ended, taskrunner.EndRow{Index: e.Index, Key: runKey(e.TaskRun), Outcome: outcome})
		}
		sim.after(sim.draw(100*time.Microsecond, 2*time.Millisecond), func() {
			if a.generation == generation && !answered {
				a.deliver(func() {
					if !answered {
						answered = true
						a.step(out)
					}
				})
			}
		})
	}
	sim.after(sim.draw(100*time.Microsecond, 2*time.Millisecond), func() {
		if a.machine.silent {
			return
		}
		if a.machine.down {
			a.deliver(func() { fail("connection refused", true) })
			return
		}
		deadline = sim.now + ef.Wait
		poll()
	})
}

func (a *agentProc) reply(call taskrunner.CallID, message any) {
	if f := a.calls[call]; f != nil {
		delete(a.calls, call)
		f(message)
	}
}

func taskName(k taskrunner.TaskKey) string { return k.Job + "." + strconv.Itoa(k.Index) }

func runKey(t leaseserver.TaskRun) taskrunner.RunKey {
	job, index, _ := strings.Cut(t.Name, ".")
	n, _ := strconv.Atoi(index)
	return taskrunner.RunKey{TaskKey: taskrunner.TaskKey{Job: job, Index: n}, Number: t.Number}
}

// owner returns the entry that has ordered a task, which it has appended to its spec.
func owner(spec string) string { return strings.Split(spec, ",")[3] }

// behavior decodes the spec of a simulated task, "MS,CPU,OUTCOME". The outcome is ok,
// fail, hang or crash.
func behavior(spec string) leaseserver.Behavior {
	f := strings.Split(spec, ",")
	ms, _ := strconv.Atoi(f[0])
	return leaseserver.Behavior{Duration: time.Duration(ms) * time.Millisecond, Fails: f[2] == "fail", Hangs: f[2] == "hang", Crashes: f[2] == "crash"}
}

// taskCPU returns the processor demand in the spec, in thousandths of a core.
func taskCPU(spec string) int {
	n, _ := strconv.Atoi(strings.Split(spec, ",")[1])
	return n
}
