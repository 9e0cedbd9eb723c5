/** Simulated proxies, collectors and controllers: they exchange the same messages as real ones, but carry no requests. */
package linenring.scale.fleet;
