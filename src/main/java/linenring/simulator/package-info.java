/**
 * The decisions behind the simulator's wire: one line a message, on standard input and output. The wire has words of its own, which
 * are mapped to the planner's inputs and commands here and nowhere else.
 */
package linenring.simulator;
