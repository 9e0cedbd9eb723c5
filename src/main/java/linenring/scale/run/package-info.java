/** Measures real and simulated controllers under workloads and scenarios, one workload or scenario at a time. */
package linenring.scale.run;
