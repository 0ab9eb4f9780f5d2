// Command hawthorn is the router's one program: the entry VM's daemon, the
// operator's tools and the demonstration.
package main

import "os"

func main() {
	os.Exit(0)
}
