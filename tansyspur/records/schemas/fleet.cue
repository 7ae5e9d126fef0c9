// A fleet: its store switches, the trunk groups between them, and the settings of their gatekeepers.

#Record: {
	depots: [...#Name] | *[]         // if left out: the depots that the switches name
	switches: [#Switch, ...#Switch]
	groups: [...#Group]
	delay: #Delay
	work: #Work
	rules: #Rules
}

#Name: string & =~"^[A-Za-z0-9][A-Za-z0-9._-]*$"

#Switch: {
	name:  #Name
	depot: #Name
	rate:  number & >0                      // set-ups per second that its processor can handle
	queue_limit: time & >0 | *2s            // the processor rejects set-ups while the wait for it is longer
	other: #Other
}

// Other work on the processor. It takes a share of the processor's time, in alternating on and off periods.
#Other: {
	share: number & >=0 & <1 | *0
	on:    time & >0 | *3s
	off:   time & >=0 | *3s
}

#Group: {
	ends: [#Name, #Name]
	circuits: int & >=0 & <=100000
}

// One-way delay between the processors of two switches.
#Delay: {
	same:  time & >=0 | *5ms                // between switches of one depot
	cross: time & >=0 | *16ms               // between switches of different depots
	between: [...{ends: [#Name, #Name], delay: time & >=0}] | *[]   // exceptions for pairs of depots
}

// Processor work of a call, in set-ups: 1 is the work of one set-up.
#Work: {
	look:   number & >=0 | *0.2              // at the switch where the call comes in, also if the call is refused
	reject: number & >=0 | *0.2              // at a switch that rejects the set-up because its processor is full
	answer: number & >=0 | *0.2              // answering, at each switch on the route
	release: number & >=0 | *0.2             // releasing, at each switch on the route
}

// Settings of the gatekeepers.
#Rules: {
	attempts: int & >=1 & <=20 | *5
	release:  time & >=0 | *200ms            // wait before the next attempt of a call after a time-out, cut or cancellation
	retry_after: time & >=0 | *2s            // the longest retry-after time sent to callers
	reports: bool | *true                   // gatekeepers send each other the fill of their groups
	cold_share: number & >0 & <=1 | *0.31
	ramp: time & >=0 | *13s
	overload_factor: number & >=1 | *3
	fall: time & >0 | *3s
}
