/** Fits of measured values against a size: shapes, least squares and the choice among them. No I/O, random numbers or clock. */
package linenring.scale.report.fit;
