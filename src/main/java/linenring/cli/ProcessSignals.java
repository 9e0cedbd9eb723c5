package linenring.cli;

import java.lang.invoke.MethodHandles;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for POSIX signals. The JDK has no public replacement for {@code sun.misc.Signal}, and the compiler warns
 * of each use in a way that cannot be suppressed; so its classes are reached by reflection, here alone.
 */
final class ProcessSignals {
    static final String HANG_UP = "HUP";
    static final String TERMINATE = "TERM";
    static final String UPGRADE = "USR2";

    private static final Class<?> SIGNAL = find("sun.misc.Signal");
    private static final Class<?> HANDLER = find("sun.misc.SignalHandler");

    private ProcessSignals() {}

    /**
     * Runs the action at each arrival of the signal, on a thread of the JVM's own.
     *
     * @return whether the signal was ignored before, as the parent process had set it up; the JVM then leaves it ignored
     */
    static boolean handle(String signalName, Runnable action) {
        Object handler =
                Proxy.newProxyInstance(HANDLER.getClassLoader(), new Class<?>[] {HANDLER}, (self, method, args) -> {
                    action.run();
                    return null;
                });
        try {
            Object before = SIGNAL.getMethod("handle", SIGNAL, HANDLER).invoke(null, signal(signalName), handler);
            return before == HANDLER.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException("no handler can be installed for SIG" + signalName, failure);
        }
    }

    /** Sends the signal to this process itself. */
    static void raise(String signalName) {
        try {
            SIGNAL.getMethod("raise", SIGNAL).invoke(null, signal(signalName));
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException("SIG" + signalName + " cannot be raised", failure);
        }
    }

    private static Object signal(String name) throws ReflectiveOperationException {
        return SIGNAL.getConstructor(String.class).newInstance(name);
    }

    private static Class<?> find(String className) {
        try {
            return MethodHandles.lookup().findClass(className);
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException(className + " is missing from this JDK", failure);
        }
    }
}
