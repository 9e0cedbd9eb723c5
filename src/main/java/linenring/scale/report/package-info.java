/** The report of a scale run: its JSON record, Markdown tables, fits and plots. */
package linenring.scale.report;
