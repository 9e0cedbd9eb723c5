/** The settings of a scale run: KDL 2, read and checked into a typed plan. */
package linenring.scale.settings;
