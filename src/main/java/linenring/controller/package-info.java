/**
 * The control loop with its single event queue. The thread of {@link linenring.controller.ControlLoop} owns all state of this
 * package and of the planner. In each round it takes the queued events (subscriptions, acknowledgements, load reports, host
 * lists), passes them to the planner, runs one reconciliation, and sends each affected proxy one update with the planner's
 * commands. Other threads act on this state only by enqueueing events.
 */
package linenring.controller;
