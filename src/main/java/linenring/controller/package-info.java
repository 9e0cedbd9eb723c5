/**
 * The control loop. One thread, that of {@link linenring.controller.ControlLoop}, owns all state of
 * this package and of the planner: it takes events from the queue, hands them to the planner, and sends each proxy that is
 * concerned one update of what the planner has commanded. Other threads reach this state through the event queue only.
 */
package linenring.controller;
