package poison

// A request may have another query at each attempt, so its crashes are also on record for
// its caller and its path with any method and query. There is no such case of any caller:
// on a busy path it would stand for requests that have nothing in common.

// withSharedForms returns a fingerprint and those of the other cases that its crashes and
// answers count for.
func withSharedForms(fp Fingerprint) []Fingerprint {
	if fp == fp.AnyCaller() || fp == fp.AnyQuery() {
		return []Fingerprint{fp}
	}
	if fp.withoutPath() {
		return []Fingerprint{fp, fp.AnyCaller()}
	}
	return []Fingerprint{fp, fp.AnyCaller(), fp.AnyQuery()}
}

// sameRequest reports whether some request counts for both cases.
func (t *Table) sameRequest(a, b *Case) bool {
	if a.Fingerprint.AnyCaller() == b.Fingerprint.AnyCaller() {
		return true
	}
	if a.anyQuery() {
		a, b = b, a
	}
	if a.Fingerprint.Common() != b.Fingerprint.Common() || a.anyQuery() || !b.anyQuery() {
		return false
	}
	for _, c := range t.callersOf(b) {
		if t.cases[a.Fingerprint.from(c.Fingerprint)] != nil {
			return true
		}
	}
	return false
}

// explains reports whether a case that covers another one shows that a path with any query
// need not be refused: one query of it, or one of several callers, caused all crashes. What
// only several callers explain frees no single caller, see frees.
func (c *Case) explains(path *Case) bool {
	if !path.anyQuery() || c.merged && !path.merged {
		return false
	}
	oneCaller := path.merged && !c.merged
	return oneCaller || !c.anyQuery()
}

// anyQuery reports whether the case is one of a path with any query.
func (c *Case) anyQuery() bool { return c.Fingerprint == c.Fingerprint.AnyQuery() }

// callersOf lists the cases of which a case consists.
func (t *Table) callersOf(c *Case) []*Case {
	if c.merged {
		return t.callers[c.Fingerprint]
	}
	return []*Case{c}
}
