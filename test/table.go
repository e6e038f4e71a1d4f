package test

// scenarioTable is the initial table of every scenario: one row for each kind, with
// deadlines short enough for a test.
const scenarioTable = `{"rows": [
{"service":"appraiser-lm","zone":"*","kind":"appraisal","team":"appraisal","weight":100,"in_flight":64,"queue_limit":200,"caller_rate":0,"deadline":"15s","first_token":"2s","token_gap":"200ms","idempotent":true,"priority":6,"may_wait":true,"wasted_prefill_weight":200},
{"service":"appraiser-lm","zone":"*","kind":"blurb","team":"appraisal","weight":100,"in_flight":64,"queue_limit":200,"caller_rate":0,"deadline":"10s","first_token":"2s","token_gap":"200ms","idempotent":true,"priority":2,"may_wait":false,"wasted_prefill_weight":200},
{"service":"marketplace-app","zone":"*","kind":"card","team":"marketplace","weight":100,"in_flight":256,"queue_limit":500,"caller_rate":0,"deadline":"5s","first_token":"0s","token_gap":"0s","idempotent":true,"priority":4,"may_wait":false,"wasted_prefill_weight":100},
{"service":"marketplace-app","zone":"*","kind":"enquiry","team":"marketplace","weight":100,"in_flight":256,"queue_limit":500,"caller_rate":0,"deadline":"8s","first_token":"0s","token_gap":"0s","idempotent":false,"priority":8,"may_wait":true,"wasted_prefill_weight":100}
]}`
