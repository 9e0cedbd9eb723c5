/** Runs real controllers as child processes with the flags of the deployment and measures them from outside. */
package linenring.scale.process;
