// Command fakes runs the stand-ins for the systems outside the router.
package main

func main() {}
