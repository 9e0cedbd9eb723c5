/**
 * The log for the operators, with levels, a rate limit for each subject, and text or JSON output. This package uses no
 * other package of the project.
 */
package linenring.log;
