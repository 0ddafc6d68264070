package scenario

import "slices"

// The offered load of floods, in multiples of capacity.
const (
	floodPatient = 5.0
	floodUrgent  = 3.0
)

var patientFlood = Scenario{
	Name:  "patient-flood",
	About: "patient work at 5 times capacity beside the peak's urgent work",
	Run: func(seed uint64) []Row {
		rows := both(offered(seed, peakUrgent, floodPatient), nil)
		return relative(rows, both(offered(seed, peakUrgent, peakPatient), nil), "urgent p99 s", "urgent p99 over steady")
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

// relative adds to each row one figure divided by the same figure of a reference.
func relative(rows, reference []Row, figure, name string) []Row {
	for i := range rows {
		column := slices.IndexFunc(rows[i].Figures, func(f Figure) bool { return f.Name == figure })
		ratio := rows[i].Figures[column].Value / reference[i].Figures[column].Value
		rows[i].Figures = append(rows[i].Figures, Figure{Name: name, Value: ratio})
	}
	return rows
}
