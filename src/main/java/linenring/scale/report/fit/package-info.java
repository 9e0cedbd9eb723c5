/** Fits of measured figures against a size: shapes, least squares and the choice among them. No I/O, no chance, no clock. */
package linenring.scale.report.fit;
