package host

import (
	"time"

	"hawthornfield.org/hawthornfield/internal/core/ident"
	"hawthornfield.org/hawthornfield/internal/load/poison"
	"hawthornfield.org/hawthornfield/internal/plat/object"
)

// lifeVM is the part of a VM that decides whether servers crashed. It does what quarantine
// does, on the clock of the test.
type lifeVM struct {
	*quarantine
	tracker *serverTracker
	silent  poison.Unanswered
	seq     uint64 // last change received from the leader
	seen    int    // number of the changes in the store that its list holds
	away    bool   // it could not reach the store
}

func newLifeVM() *lifeVM {
	t := newOrderTracker()
	return &lifeVM{quarantine: &quarantine{table: poison.NewTable(), parts: quarantineParts{Servers: t}}, tracker: t}
}

// change applies a change in the store to the list.
func (vm *lifeVM) change(w write, rev int) {
	o := object.Object{Name: "servers/" + string(w.name)}
	if w.json != "" {
		o.Version, o.Value = object.Version(rev), []byte(w.json)
	}
	vm.tracker.applyChanges([]object.Change{{Object: o}}, object.Cursor(rev))
}

// listAll replaces the list by the result of all changes.
func (vm *lifeVM) listAll(all []write) {
	vm.away = false
	held := map[ident.Server]object.Object{}
	for i, w := range all {
		held[w.name] = object.Object{Name: "servers/" + string(w.name), Version: object.Version(i + 1), Value: []byte(w.json)}
		if w.json == "" {
			delete(held, w.name)
		}
	}
	var list []object.Object
	for _, o := range held {
		list = append(list, o)
	}
	vm.tracker.replaceAll(list, object.Cursor(len(all)))
}

// refresh records that the store answers, as expireLoop and the watcher do.
func (vm *lifeVM) refresh(now time.Time) {
	t := vm.tracker
	t.storeUp()
	t.noteListed(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members.Expire(now) {
		t.publish(t.rev)
	}
}

func (vm *lifeVM) lists(s ident.Server) bool {
	_, ok := vm.process(s)
	return ok
}

// process returns the process that the list names for a server, and false for one that
// leaves or is not listed.
func (vm *lifeVM) process(s ident.Server) (ident.Process, bool) {
	vm.tracker.mu.Lock()
	defer vm.tracker.mu.Unlock()
	e, ok := vm.tracker.members.Has(s)
	p := e.Value.Process()
	p.Server = s
	return p, ok && !e.Leaving
}

func (vm *lifeVM) tick(now time.Time, leads bool) {
	for _, a := range vm.silent.Settle(now, vm.tracker.observe(vm.silent.Processes()).endings()) {
		vm.table.Record(a)
	}
	seen := vm.tracker.observe(vm.processes())
	if leads {
		vm.table.Lead()
	}
	vm.table.NoteAnnounced(func(p ident.Process) bool { return seen.announced[p] })
	vm.table.Reconcile(now, seen.since)
}

// crashed does what ReportCrash does.
func (vm *lifeVM) crashed(a poison.Attempt) {
	a.At, a.Announced = time.Now(), vm.tracker.announced(a.Process)
	vm.table.Record(a)
}

// notAnswered does what ReportUnanswered does.
func (vm *lifeVM) notAnswered(a poison.Attempt) {
	a.At = time.Now()
	vm.silent.Add(a)
}

// requestAnswered does what Answered does.
func (vm *lifeVM) requestAnswered(fp poison.Fingerprint) {
	vm.silent.Clear(time.Now(), fp)
	vm.table.Clear(time.Now(), fp)
}

// otherAnswered does what ServerAnswered does.
func (vm *lifeVM) otherAnswered(opened, sentAt time.Time, s ident.Server) {
	if vm.isAccused(s) {
		vm.table.ServerAnswered(poison.Life{From: opened, Until: sentAt}, s)
	}
}
