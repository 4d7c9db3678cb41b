package main

import (
	"os"
	"strconv"
	"strings"
)

// clockTicks is the unit of /proc/stat, per second.
const clockTicks = 100

// busySeconds returns the processor time that the whole machine has spent, to
// tell what others use while a run is measured; 0 where it is not known.
func busySeconds() float64 {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0
	}
	line, _, _ := strings.Cut(string(data), "\n")
	fields := strings.Fields(line)
	if len(fields) < 8 {
		return 0
	}
	sum := 0.0
	for _, i := range []int{1, 2, 3, 6, 7} { // user, nice, system, irq, softirq
		ticks, _ := strconv.ParseFloat(fields[i], 64)
		sum += ticks
	}
	return sum / clockTicks
}
