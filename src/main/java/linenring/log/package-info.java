/** The log for the operators: levels, a rate limit for each subject, text or JSON output. It uses no other package. */
package linenring.log;
