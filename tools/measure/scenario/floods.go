package scenario

// The offered load of floods, in multiples of capacity.
const (
	floodPatient = 5.0
	floodUrgent  = 3.0
)

var patientFlood = Scenario{
	Name:  "patient-flood",
	About: "patient work at 5 times capacity beside the peak's urgent work",
	Run: func(seed uint64) []Row {
		return both(offered(seed, peakUrgent, floodPatient), nil)
	},
}

var urgentFlood = Scenario{
	Name:  "urgent-flood",
	About: "urgent work at 3 times capacity beside the peak's patient work",
	Run: func(seed uint64) []Row {
		return both(offered(seed, floodUrgent, peakPatient), nil)
	},
}

var bothFloods = Scenario{
	Name:  "both-floods",
	About: "patient work at 5 times and urgent work at 3 times capacity",
	Run: func(seed uint64) []Row {
		return both(offered(seed, floodUrgent, floodPatient), nil)
	},
}
