package linenring.testserver;

import org.eclipse.jetty.http.HttpStatus;

/**
 * What a test backend does with a request, in full.
 *
 * @param behaviour what
 * @param delayMs   after how long
 * @param status    of its answer
 * @param bytes     of its answer's body
 */
public record Reaction(Behaviour behaviour, long delayMs, int status, int bytes) {
    private static final int DEFAULT_BYTES = 2;

    /** At once, with a short body. */
    public static Reaction of(Behaviour behaviour) {
        int status = behaviour == Behaviour.ERROR ? HttpStatus.INTERNAL_SERVER_ERROR_500 : HttpStatus.OK_200;
        return new Reaction(behaviour, 0, status, DEFAULT_BYTES);
    }

    /** The same after so long. */
    public Reaction after(long newDelayMs) {
        return new Reaction(behaviour, newDelayMs, status, bytes);
    }

    /** The same with a body of this length. */
    public Reaction withBytes(int newBytes) {
        return new Reaction(behaviour, delayMs, status, newBytes);
    }

    boolean executes() {
        return behaviour.executes();
    }
}
