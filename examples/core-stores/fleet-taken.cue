// Three of the seven processors are half taken by other work, on and off.
// Seven store switches in four depots, as in service: uneven groups, little room to spare.

_half: {share: 50%, on: 3s, off: 3s}

switches: [
	{name: "casa-1", depot: "casablanca", rate: 40}
	{name: "casa-2", depot: "casablanca", rate: 39, other: _half}
	{name: "marra-1", depot: "marrakech", rate: 32}
	{name: "marra-2", depot: "marrakech", rate: 35, other: _half}
	{name: "agadir-1", depot: "agadir", rate: 38, other: _half}
	{name: "agadir-2", depot: "agadir", rate: 37}
	{name: "oujda-1", depot: "oujda", rate: 35}
]

groups: [
	{ends: ["casa-1", "casa-2"], circuits: 42}
	{ends: ["casa-1", "marra-1"], circuits: 24}
	{ends: ["casa-1", "marra-2"], circuits: 49}
	{ends: ["casa-1", "agadir-1"], circuits: 26}
	{ends: ["casa-1", "agadir-2"], circuits: 29}
	{ends: ["casa-1", "oujda-1"], circuits: 32}
	{ends: ["casa-2", "marra-1"], circuits: 31}
	{ends: ["casa-2", "marra-2"], circuits: 29}
	{ends: ["casa-2", "agadir-1"], circuits: 32}
	{ends: ["casa-2", "agadir-2"], circuits: 20}
	{ends: ["casa-2", "oujda-1"], circuits: 42}
	{ends: ["marra-1", "marra-2"], circuits: 43}
	{ends: ["marra-1", "agadir-1"], circuits: 14}
	{ends: ["marra-1", "agadir-2"], circuits: 20}
	{ends: ["marra-1", "oujda-1"], circuits: 45}
	{ends: ["marra-2", "agadir-1"], circuits: 30}
	{ends: ["marra-2", "agadir-2"], circuits: 16}
	{ends: ["marra-2", "oujda-1"], circuits: 36}
	{ends: ["agadir-1", "agadir-2"], circuits: 64}
	{ends: ["agadir-1", "oujda-1"], circuits: 32}
	{ends: ["agadir-2", "oujda-1"], circuits: 21}
]

delay: {same: 5ms, cross: 16ms, between: [
	{ends: ["casablanca", "marrakech"], delay: 9.3ms}
	{ends: ["agadir", "oujda"], delay: 25ms}
]}
work: {look: 0.2, reject: 0.2, answer: 0.2, release: 0.2}
rules: {attempts: 5}
