// A load: the calls that callers offer to a fleet, and how they redial.

#Record: {
	windows: [time & >0, ...(time & >0)]     // lengths of consecutive time windows
	classes: [#Class, ...#Class]
	streams: [...#Stream]
	redial: #Redial
	holding: "exponential" | "fixed" | *"exponential"
	notes: [...string] | *[]                 // where the data comes from, and what it lacks
}

#Name: string & =~"^[A-Za-z0-9][A-Za-z0-9._-]*$"

#Class: {
	name: #Name
	hold: time & >0                          // mean holding time
	aim:  time & >0                          // objective: a call answered within this time earns its full worth
	deadline: time & >0                      // of the class; a caller gives up a single try earlier, see patience in #Redial
	worth: number & >0 | *1
	late_worth: number & >=0 & <=1 | *0       // share of the worth that an answer between aim and deadline earns
	width: int & >=1 | *1                    // circuits that a call takes in each group on its route
}

// Calls per second: one number for all windows, or a list with one number for each window.
#Stream: {
	from: #Name
	to:   #Name
	class: #Name
	calls: number & >=0 | [number & >=0, ...(number & >=0)]
}

// What callers do when a call is refused or not answered in time.
#Redial: {
	tries: int & >=0 | *3                    // redials after the first try
	wait: time & >=0 | *1s                    // before each redial
	patience: number & >0 & <=1 | *0.35       // share of the class's deadline after which a caller gives up a try
	heeds: number & >=0 & <=1 | *0.75         // share of callers that respect a retry-after time
}
