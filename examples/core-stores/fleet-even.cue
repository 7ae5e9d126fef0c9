// The example's fleet with the same circuits spread evenly over its groups.

switches: [
	{name: "casa-1", depot: "casablanca", rate: 40}
	{name: "casa-2", depot: "casablanca", rate: 39}
	{name: "marra-1", depot: "marrakech", rate: 32}
	{name: "marra-2", depot: "marrakech", rate: 35}
	{name: "agadir-1", depot: "agadir", rate: 38}
	{name: "agadir-2", depot: "agadir", rate: 37}
	{name: "oujda-1", depot: "oujda", rate: 35}
]

groups: [
	{ends: ["casa-1", "casa-2"], circuits: 32}
	{ends: ["casa-1", "marra-1"], circuits: 32}
	{ends: ["casa-1", "marra-2"], circuits: 32}
	{ends: ["casa-1", "agadir-1"], circuits: 32}
	{ends: ["casa-1", "agadir-2"], circuits: 32}
	{ends: ["casa-1", "oujda-1"], circuits: 32}
	{ends: ["casa-2", "marra-1"], circuits: 32}
	{ends: ["casa-2", "marra-2"], circuits: 32}
	{ends: ["casa-2", "agadir-1"], circuits: 32}
	{ends: ["casa-2", "agadir-2"], circuits: 32}
	{ends: ["casa-2", "oujda-1"], circuits: 32}
	{ends: ["marra-1", "marra-2"], circuits: 32}
	{ends: ["marra-1", "agadir-1"], circuits: 32}
	{ends: ["marra-1", "agadir-2"], circuits: 32}
	{ends: ["marra-1", "oujda-1"], circuits: 32}
	{ends: ["marra-2", "agadir-1"], circuits: 32}
	{ends: ["marra-2", "agadir-2"], circuits: 32}
	{ends: ["marra-2", "oujda-1"], circuits: 32}
	{ends: ["agadir-1", "agadir-2"], circuits: 32}
	{ends: ["agadir-1", "oujda-1"], circuits: 32}
	{ends: ["agadir-2", "oujda-1"], circuits: 32}
]

delay: {same: 5ms, cross: 16ms, between: [
	{ends: ["casablanca", "marrakech"], delay: 9.3ms}
	{ends: ["agadir", "oujda"], delay: 25ms}
]}
work: {look: 0.2, reject: 0.2, answer: 0.2, release: 0.2}
rules: {attempts: 5}
