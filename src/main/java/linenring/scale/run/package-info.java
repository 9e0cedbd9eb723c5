/** Measures real and simulated controllers under workloads and scenarios, one at a time. */
package linenring.scale.run;
