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

// Limits of an answer's size.
const (
	base64Growth          = 2 // upper bound of the growth of a body in JSON
	perResultBytes        = 4 << 10
	defaultMaxAnswerBytes = structs.MaxTasksPerJob * (base64Growth*structs.MaxResultBytes + perResultBytes)
)

// Options configure a Client. Only Entries is needed; zero values take the
// defaults.
type Options struct {
	// Entries are the base URLs of entries, or of the balancer in front of
	// them, such as "http://10.0.0.1:8080".
	Entries []string
	// HTTP sends the requests. The default goes straight to the entries,
	// without a proxy. A redirect is never followed.
	HTTP *http.Client
	// PublishToken is what the entries ask of operators who publish.
	PublishToken string
	// ReserveBlock is how many ids are reserved at once.
	ReserveBlock int
	// ReserveLife is how long an unused id is kept. An old one is likelier to
	// belong to an entry that has been replaced.
	ReserveLife time.Duration
	// PollWait is how long one request waits at the entry for a final answer.
	PollWait time.Duration
	// AnswerSlack is how long past its wait a request may stay unanswered
	// before it counts as lost.
	AnswerSlack time.Duration
	// MaxRetries bounds the retries in a row of one call.
	MaxRetries int
	// MinBackoff and MaxBackoff bound the delay between retries.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// BudgetRatio is how many retries each call earns for all calls of the
	// client, and BudgetBurst how many can be saved up.
	BudgetRatio float64
	BudgetBurst float64
	// MaxAnswerBytes bounds the body of an answer; the default holds every
	// answer that the system can give.
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

// parseEntries checks the base URLs and returns them without a trailing slash.
func parseEntries(entries []string) ([]string, error) {
	if len(entries) == 0 {
		return nil, errors.New("client: no entry given")
	}
	urls := make([]string, 0, len(entries))
	for _, e := range entries {
		u, err := url.Parse(e)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, fmt.Errorf("client: entry %q: want an http URL such as http://127.0.0.1:8080", e)
		}
		urls = append(urls, strings.TrimRight(e, "/"))
	}
	return urls, nil
}
