package linenring.log;

import java.time.Instant;

/** Where lines for the staff go, once it is decided that they are written. */
public interface Sink {
    /** One line; {@code held} is how many of its subject were not written since the last one that was. */
    void write(Instant at, String level, String subject, String words, int held);
}
