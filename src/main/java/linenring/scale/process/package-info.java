/** Real controllers as child processes, started as operators start them, and measured from outside. */
package linenring.scale.process;
