/** Measures real and hollow stewards under workloads and scenarios, one at a time. */
package linenring.scale.run;
