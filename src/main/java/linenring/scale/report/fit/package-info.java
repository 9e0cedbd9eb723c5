/** Fits functions of the size to measured values: shapes, least squares, and the choice of a shape. No I/O, random numbers or clock. */
package linenring.scale.report.fit;
