/** Workloads, sweeps and scenarios of a scale run, and the results from which reports and fits are computed. */
package linenring.scale.measurement;
