/**
 * Every decision of a controller: which hosts each proxy may choose, by which weight, how much is admitted, and when it is written.
 *
 * <p>{@link linenring.planner.Planner} is the façade, with the inputs and the rules in their order; each mechanism is a class of its
 * own, which states its inputs, constants and reasons. It acts through {@link linenring.planner.Commands}. It has no clock and does no
 * input or output: the same inputs at the same times give the same commands. One thread owns a planner.
 */
package linenring.planner;
