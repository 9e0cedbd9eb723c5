/** Reads and validates the settings of a scale run, a KDL 2 file, into a typed plan. */
package linenring.scale.settings;
