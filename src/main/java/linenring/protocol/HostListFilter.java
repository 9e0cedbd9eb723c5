package linenring.protocol;

import java.util.function.Predicate;

/**
 * What is kept of a list while it is read: hosts in scope, and at most so many. {@code isHeld} tells whether a host of that
 * id is held now: a change that takes it out of scope must take it out, and one of a host never held costs nothing.
 */
public record HostListFilter(ServiceScope scope, Predicate<String> isHeld, int hostsMost) {
    /** All hosts, however many. */
    public static final HostListFilter NONE = new HostListFilter(ServiceScope.ALL, id -> true, Integer.MAX_VALUE);
}
