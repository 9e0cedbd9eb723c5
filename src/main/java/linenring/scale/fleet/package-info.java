/** Simulated proxies, collectors and controllers: they exchange messages as real ones do and carry no request. */
package linenring.scale.fleet;
