package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

type (
	addMsg   int
	echoCmd  int
	tickMsg  struct{}
	startMsg struct{}
)

type counter struct {
	n     int
	ticks []time.Time
}

func (c counter) Update(now time.Time, msg Msg) (Model, []Cmd) {
	switch msg := msg.(type) {
	case addMsg:
		c.n += int(msg)
		return c, []Cmd{echoCmd(c.n)}
	case startMsg:
		return c, []Cmd{AfterCmd{D: time.Minute, Msg: tickMsg{}}}
	case tickMsg:
		c.ticks = append(c.ticks, now)
	}
	return c, nil
}

func TestLoopAppliesMessagesInOrderAndRunsCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []int
		l := New(counter{}, RunnerFunc(func(_ context.Context, cmd Cmd, _ func(Msg)) {
			got = append(got, int(cmd.(echoCmd)))
		}))
		l.Send(addMsg(2))
		l.Send(addMsg(3))
		synctest.Wait()
		assert.DeepEqual(t, got, []int{2, 5})
		assert.Equal(t, l.Model().(counter).n, 5)
		assert.NilError(t, l.Close())
	})
}

func TestTimersUseTheRuntimeClockAndEndWithClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := New(counter{}, RunnerFunc(func(context.Context, Cmd, func(Msg)) {}))
		l.Send(startMsg{})
		time.Sleep(time.Minute + time.Second)
		assert.DeepEqual(t, l.Model().(counter).ticks, []time.Time{start.Add(time.Minute)})
		l.Send(startMsg{})
		synctest.Wait()
		assert.NilError(t, l.Close())
		l.Send(addMsg(1))
		assert.Equal(t, l.Model().(counter).n, 0)
	})
}
