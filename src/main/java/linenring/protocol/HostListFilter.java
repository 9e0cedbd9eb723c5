package linenring.protocol;

import java.util.function.Predicate;

/**
 * Which entries of a host list are kept while it is decoded, so that a catalogue larger than the heap can be read.
 *
 * @param scope the services whose hosts are kept
 * @param isHeld whether a host of that id is held now: a change that takes it out of scope must remove it, while a change of
 *     a host that was never held costs nothing
 * @param maxHosts a list that keeps more is rejected
 */
public record HostListFilter(ServiceScope scope, Predicate<String> isHeld, int maxHosts) {
    /** All hosts, however many. */
    public static final HostListFilter NONE = new HostListFilter(ServiceScope.ALL, id -> true, Integer.MAX_VALUE);
}
