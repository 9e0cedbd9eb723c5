/** The values that a scale run measures and that its reports and fits are made from. */
package linenring.scale.measurement;
