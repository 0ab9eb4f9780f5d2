package main

func Example() {
	main()
	// Output:
	// slice 3 is served by scale-a
	// moved under epoch 1 at revision 5
	// slice 3 is served by scale-b
}
