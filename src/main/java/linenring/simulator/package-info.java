/**
 * Connects planners to the simulator. Messages of the simulator's protocol are lines on standard input and output; only
 * this package translates them to the planner's inputs and commands.
 */
package linenring.simulator;
