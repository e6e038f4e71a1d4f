package drive

// Policy tables of the measuring programs. Limits and deadlines are so high that no
// measurement reaches them.
const (
	// Table has the rows of a model service and a plain service.
	Table = `{"rows": [` + "\n" + modelRows + "," + plainRows + `]}`
	// PlainTable has only the rows of the plain service.
	PlainTable = `{"rows": [` + "\n" + plainRows + `]}`
)

const modelRows = `{"service":"appraiser-lm","zone":"*","kind":"appraisal","team":"appraisal","weight":100,"in_flight":100000,"queue_limit":100000,"caller_rate":0,"deadline":"10m","first_token":"5m","token_gap":"1m","idempotent":true,"priority":6,"may_wait":true,"wasted_prefill_weight":200}`

const plainRows = `
{"service":"marketplace-app","zone":"*","kind":"card","team":"marketplace","weight":100,"in_flight":100000,"queue_limit":100000,"caller_rate":0,"deadline":"1m","first_token":"0s","token_gap":"0s","idempotent":true,"priority":4,"may_wait":true,"wasted_prefill_weight":100},
{"service":"marketplace-app","zone":"*","kind":"enquiry","team":"marketplace","weight":100,"in_flight":100000,"queue_limit":100000,"caller_rate":0,"deadline":"1m","first_token":"0s","token_gap":"0s","idempotent":false,"priority":8,"may_wait":true,"wasted_prefill_weight":100}
`
