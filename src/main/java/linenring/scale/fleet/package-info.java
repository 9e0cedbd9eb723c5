/** Hollow proxies, collectors and stewards: they speak as real ones do and carry no request. */
package linenring.scale.fleet;
