package poison

// The version before has fingerprints of three parts: method, host, path and query in one,
// body, and caller. They match no request here. A leader passes them on, so that VMs of that
// version still tell each other which requests crash servers.

const oldSize = 3 * partSize

// noPath stands in place of method and query in a fingerprint of the version before.
var noPath = [partSize]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}

// fromOld returns the fingerprint that the bytes of one of the version before stand for.
func fromOld(b []byte) Fingerprint {
	var fp Fingerprint
	copy(fp[:], b[:lineAt])
	copy(fp[lineAt:], noPath[:])
	copy(fp[callerAt:], b[lineAt:])
	return fp
}

// withoutPath reports whether a fingerprint is one of the version before.
func (fp Fingerprint) withoutPath() bool { return [partSize]byte(fp[lineAt:]) == noPath }
