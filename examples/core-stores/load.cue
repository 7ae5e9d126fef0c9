// 58 calls a second among seven store switches: box look-ups, and corrections from the rigs.

windows: [20s, 20s, 20s]

_lookup: {class: "box-lookup"}
_fix: {class: "rig-depth-fix"}

classes: [
	{name: "box-lookup", hold: 10.75s, aim: 1500ms, deadline: 9s, worth: 1, late_worth: 25%}
	{name: "rig-depth-fix", hold: 5.4s, aim: 1s, deadline: 6s, worth: 8, late_worth: 25%}
]

streams: [
	_lookup & {from: "casa-1", to: "casa-2", calls: [0.830, 0.805, 0.427]}
	_fix & {from: "casa-1", to: "casa-2", calls: 0.0439}
	_lookup & {from: "casa-1", to: "marra-1", calls: [1.570, 1.255, 1.388]}
	_fix & {from: "casa-1", to: "marra-1", calls: 0.0896}
	_lookup & {from: "casa-1", to: "marra-2", calls: [1.013, 1.430, 0.981]}
	_fix & {from: "casa-1", to: "marra-2", calls: 0.0729}
	_lookup & {from: "casa-1", to: "agadir-1", calls: [1.307, 1.145, 1.618]}
	_fix & {from: "casa-1", to: "agadir-1", calls: 0.0866}
	_lookup & {from: "casa-1", to: "agadir-2", calls: [1.986, 2.268, 1.622]}
	_fix & {from: "casa-1", to: "agadir-2", calls: 0.1250}
	_lookup & {from: "casa-1", to: "oujda-1", calls: [0.330, 0.416, 0.514]}
	_fix & {from: "casa-1", to: "oujda-1", calls: 0.0268}
	_lookup & {from: "casa-2", to: "casa-1", calls: [2.499, 2.853, 3.642]}
	_fix & {from: "casa-2", to: "casa-1", calls: 0.1913}
	_lookup & {from: "casa-2", to: "marra-1", calls: [0.488, 0.662, 0.341]}
	_fix & {from: "casa-2", to: "marra-1", calls: 0.0317}
	_lookup & {from: "casa-2", to: "marra-2", calls: [1.617, 1.511, 2.207]}
	_fix & {from: "casa-2", to: "marra-2", calls: 0.1135}
	_lookup & {from: "casa-2", to: "agadir-1", calls: [0.813, 0.881, 0.730]}
	_fix & {from: "casa-2", to: "agadir-1", calls: 0.0516}
	_lookup & {from: "casa-2", to: "agadir-2", calls: [0.835, 0.781, 0.784]}
	_fix & {from: "casa-2", to: "agadir-2", calls: 0.0511}
	_lookup & {from: "casa-2", to: "oujda-1", calls: [2.147, 2.370, 1.548]}
	_fix & {from: "casa-2", to: "oujda-1", calls: 0.1290}
	_lookup & {from: "marra-1", to: "casa-1", calls: [0.296, 0.237, 0.324]}
	_fix & {from: "marra-1", to: "casa-1", calls: 0.0182}
	_lookup & {from: "marra-1", to: "casa-2", calls: [1.665, 2.951, 2.117]}
	_fix & {from: "marra-1", to: "casa-2", calls: 0.1433}
	_lookup & {from: "marra-1", to: "marra-2", calls: [1.110, 1.871, 2.667]}
	_fix & {from: "marra-1", to: "marra-2", calls: 0.1202}
	_lookup & {from: "marra-1", to: "agadir-1", calls: [0.557, 0.326, 0.286]}
	_fix & {from: "marra-1", to: "agadir-1", calls: 0.0249}
	_lookup & {from: "marra-1", to: "agadir-2", calls: [0.547, 0.354, 0.364]}
	_fix & {from: "marra-1", to: "agadir-2", calls: 0.0269}
	_lookup & {from: "marra-1", to: "oujda-1", calls: [1.486, 2.244, 1.555]}
	_fix & {from: "marra-1", to: "oujda-1", calls: 0.1125}
	_lookup & {from: "marra-2", to: "casa-1", calls: [3.163, 2.792, 3.602]}
	_fix & {from: "marra-2", to: "casa-1", calls: 0.2033}
	_lookup & {from: "marra-2", to: "casa-2", calls: [0.810, 0.596, 0.462]}
	_fix & {from: "marra-2", to: "casa-2", calls: 0.0397}
	_lookup & {from: "marra-2", to: "marra-1", calls: [1.382, 1.612, 2.279]}
	_fix & {from: "marra-2", to: "marra-1", calls: 0.1122}
	_lookup & {from: "marra-2", to: "agadir-1", calls: [0.366, 0.550, 0.599]}
	_fix & {from: "marra-2", to: "agadir-1", calls: 0.0323}
	_lookup & {from: "marra-2", to: "agadir-2", calls: [0.508, 0.606, 0.422]}
	_fix & {from: "marra-2", to: "agadir-2", calls: 0.0327}
	_lookup & {from: "marra-2", to: "oujda-1", calls: [0.557, 0.550, 0.412]}
	_fix & {from: "marra-2", to: "oujda-1", calls: 0.0323}
	_lookup & {from: "agadir-1", to: "casa-1", calls: [0.443, 0.489, 0.641]}
	_fix & {from: "agadir-1", to: "casa-1", calls: 0.0335}
	_lookup & {from: "agadir-1", to: "casa-2", calls: [1.414, 1.667, 2.139]}
	_fix & {from: "agadir-1", to: "casa-2", calls: 0.1111}
	_lookup & {from: "agadir-1", to: "marra-1", calls: [0.462, 0.585, 0.650]}
	_fix & {from: "agadir-1", to: "marra-1", calls: 0.0361}
	_lookup & {from: "agadir-1", to: "marra-2", calls: [1.607, 1.547, 1.259]}
	_fix & {from: "agadir-1", to: "marra-2", calls: 0.0939}
	_lookup & {from: "agadir-1", to: "agadir-2", calls: [3.107, 4.720, 2.757]}
	_fix & {from: "agadir-1", to: "agadir-2", calls: 0.2252}
	_lookup & {from: "agadir-1", to: "oujda-1", calls: [1.216, 1.055, 1.132]}
	_fix & {from: "agadir-1", to: "oujda-1", calls: 0.0724}
	_lookup & {from: "agadir-2", to: "casa-1", calls: [0.959, 0.940, 1.084]}
	_fix & {from: "agadir-2", to: "casa-1", calls: 0.0635}
	_lookup & {from: "agadir-2", to: "casa-2", calls: [0.973, 1.336, 0.843]}
	_fix & {from: "agadir-2", to: "casa-2", calls: 0.0671}
	_lookup & {from: "agadir-2", to: "marra-1", calls: [1.056, 1.533, 1.438]}
	_fix & {from: "agadir-2", to: "marra-1", calls: 0.0857}
	_lookup & {from: "agadir-2", to: "marra-2", calls: [1.217, 0.830, 0.769]}
	_fix & {from: "agadir-2", to: "marra-2", calls: 0.0599}
	_lookup & {from: "agadir-2", to: "agadir-1", calls: [1.670, 1.160, 1.973]}
	_fix & {from: "agadir-2", to: "agadir-1", calls: 0.1022}
	_lookup & {from: "agadir-2", to: "oujda-1", calls: [0.715, 0.681, 1.208]}
	_fix & {from: "agadir-2", to: "oujda-1", calls: 0.0554}
	_lookup & {from: "oujda-1", to: "casa-1", calls: [2.541, 2.843, 1.550]}
	_fix & {from: "oujda-1", to: "casa-1", calls: 0.1475}
	_lookup & {from: "oujda-1", to: "casa-2", calls: [1.366, 0.784, 1.664]}
	_fix & {from: "oujda-1", to: "casa-2", calls: 0.0811}
	_lookup & {from: "oujda-1", to: "marra-1", calls: [1.111, 1.491, 1.241]}
	_fix & {from: "oujda-1", to: "marra-1", calls: 0.0818}
	_lookup & {from: "oujda-1", to: "marra-2", calls: [1.381, 1.163, 0.844]}
	_fix & {from: "oujda-1", to: "marra-2", calls: 0.0721}
	_lookup & {from: "oujda-1", to: "agadir-1", calls: [2.016, 1.993, 2.963]}
	_fix & {from: "oujda-1", to: "agadir-1", calls: 0.1483}
	_lookup & {from: "oujda-1", to: "agadir-2", calls: [0.347, 0.755, 0.386]}
	_fix & {from: "oujda-1", to: "agadir-2", calls: 0.0317}
]

redial: {tries: 3, wait: 1s, patience: 35%, heeds: 75%}
