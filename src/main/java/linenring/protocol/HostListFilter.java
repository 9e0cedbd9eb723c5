package linenring.protocol;

import java.util.function.Predicate;

/**
 * Selects the entries of a host list that are kept while it is decoded, so that a catalogue larger than the heap can be read.
 *
 * @param scope the services whose hosts are kept
 * @param isListed whether the host with this id is in the current list: a change that moves such a host out of scope must remove
 *     it, while a change to any other host outside the scope is skipped
 * @param maxHosts maximum number of hosts that are kept; a list with more hosts in scope is rejected
 */
public record HostListFilter(ServiceScope scope, Predicate<String> isListed, int maxHosts) {
    /** Keeps all hosts, without a limit on their number. */
    public static final HostListFilter NONE = new HostListFilter(ServiceScope.ALL, id -> true, Integer.MAX_VALUE);
}
