// Command jacinthworks routes callers' requests to pools of prefill and decode
// engines and to plain application servers.
package main

func main() {}
