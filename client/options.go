package client

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/chestnuthollow/chestnuthollow/structs"
)

// Defaults of Options.
const (
	defaultReserveBlock = 16
	defaultReserveLife  = 2 * time.Second
	defaultPollWait     = 5 * time.Second
	defaultAnswerSlack  = 2 * time.Second
	defaultMaxRetries   = 10
	defaultMinBackoff   = 10 * time.Millisecond
	defaultMaxBackoff   = 2 * time.Second
	defaultBudgetRatio  = 0.5
	defaultBudgetBurst  = 50
)

// Bounds for the size of a response.
const (
	maxBodyGrowth         = 2 // upper bound for the growth of a result body encoded as base64
	perResultBytes        = 4 << 10
	defaultMaxAnswerBytes = structs.MaxTasksPerJob * (maxBodyGrowth*structs.MaxResultBytes + perResultBytes)
)

// Options configure a Client. Only Entries is required; other fields get their
// defaults if they are zero.
type Options struct {
	// Entries are the base URLs of entries, or of the load balancer in front of
	// them, such as "http://10.0.0.1:8080".
	Entries []string
	// HTTP sends the requests. The default connects directly, without a proxy.
	// Redirects are never followed.
	HTTP *http.Client
	// PublishToken is the bearer token that the entries require for publishing
	// documents.
	PublishToken string
	// ReserveBlock is the number of ids reserved with one request.
	ReserveBlock int
	// ReserveLife is how long an unused reserved id is kept. The older an id,
	// the likelier it is that its entry has been replaced.
	ReserveLife time.Duration
	// PollWait is how long an entry may hold one request until the job's answer
	// is final.
	PollWait time.Duration
	// AnswerSlack is added to the time that an entry may hold a request; it
	// gives the timeout after which the response counts as lost.
	AnswerSlack time.Duration
	// MaxRetries bounds the consecutive retries of one call.
	MaxRetries int
	// MinBackoff and MaxBackoff bound the delay between retries.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// BudgetRatio is how many retries each call adds to the retry budget that
	// all calls of the client share. BudgetBurst is the size of the budget.
	BudgetRatio float64
	BudgetBurst float64
	// MaxAnswerBytes bounds the size of a response body. The default is large
	// enough for every answer that the system can give.
	MaxAnswerBytes int64
}

func orDefault[T int | int64 | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (o *Options) setDefaults() {
	orDefault(&o.ReserveBlock, defaultReserveBlock)
	orDefault(&o.ReserveLife, defaultReserveLife)
	orDefault(&o.PollWait, defaultPollWait)
	orDefault(&o.AnswerSlack, defaultAnswerSlack)
	orDefault(&o.MaxRetries, defaultMaxRetries)
	orDefault(&o.MinBackoff, defaultMinBackoff)
	orDefault(&o.MaxBackoff, defaultMaxBackoff)
	orDefault(&o.BudgetRatio, defaultBudgetRatio)
	orDefault(&o.BudgetBurst, defaultBudgetBurst)
	orDefault(&o.MaxAnswerBytes, int64(defaultMaxAnswerBytes))
}

// parseEntries validates the base URLs and returns them without trailing slashes.
func parseEntries(entries []string) ([]string, error) {
	if len(entries) == 0 {
		return nil, errors.New("client: no entry URL given")
	}
	urls := make([]string, 0, len(entries))
	for _, e := range entries {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, fmt.Errorf("client: entry %q: want an http or https URL such as http://127.0.0.1:8080", e)
		}
		urls = append(urls, strings.TrimRight(e, "/"))
	}
	return urls, nil
}
