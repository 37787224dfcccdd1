// Package runtimes learns how long tasks run relative to what was expected, as
// distributions by queue. An agent records the tasks that end at its server with a
// Tracker and sends quantiles to the entries, which combine them with Fleet. It reads no
// clock and is not safe for concurrent use.
//
// A ratio is the run time of a task divided by the expected one: the caller's estimate
// times the slowness of the server.
package runtimes

import "time"

// Probabilities are those of the quantiles in session.RunTimes.Ratios. They are denser at
// the upper end, where a few percent of tasks may run several times as long.
var Probabilities = [...]float64{0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.97, 0.98, 0.99, 1}

const (
	// MinSamples is the weight, in tasks, from which on a distribution is used: with
	// fewer, its outer quantiles are those of single tasks.
	MinSamples = 30
	// decayTime is the time constant with which earlier tasks lose their weight. A queue
	// with three tasks a second at a server keeps some 200, of which three in a hundred
	// show a tail.
	decayTime = 60 * time.Second
	// maxQueues bounds the queues of a Tracker and the queues of one agent in a Fleet.
	maxQueues = 64
	// maxAgents bounds the agents of a Fleet, and maxFleetQueues its queues.
	maxAgents      = 1024
	maxFleetQueues = 4096
	// publishInterval is the least time between two publications of one queue by a
	// Tracker, so that a polled session carries them rarely.
	publishInterval = 2 * time.Second
	// growthToPublish is by how much the weight must have grown for an earlier publication,
	// so that a new queue is soon known.
	growthToPublish = 2
	// combineInterval is the least time between two combinations of one queue in a Fleet.
	combineInterval = time.Second
	// bodyFactor times the quantile at bodyProbability bounds the run times that errors of
	// estimates explain. What is longer is in the tail of its distribution.
	bodyFactor      = 1.5
	bodyProbability = 0.9
	// A distribution has a tail if its quantile at tailProbability is beyond the body.
	tailProbability = 0.98
	// minConstantError is the least deviation of the median from 1 that counts as a constant
	// error of the queue's estimates. Smaller ones are within the error of learned speeds.
	minConstantError = 0.25
	// perMille scales ratios to the thousandths used in messages.
	perMille = 1000
)
