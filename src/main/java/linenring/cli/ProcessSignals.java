package linenring.cli;

import java.lang.invoke.MethodHandles;
import java.lang.reflect.Proxy;

/**
 * Installs handlers for POSIX signals. The JDK has no public replacement for {@code sun.misc.Signal}, and the compiler's
 * warning about each use cannot be suppressed; so this class, and no other, calls it by reflection.
 */
final class ProcessSignals {
    static final String HANG_UP = "HUP";
    static final String TERMINATE = "TERM";
    static final String UPGRADE = "USR2";

    private static final Class<?> SIGNAL = findClass("sun.misc.Signal");
    private static final Class<?> HANDLER = findClass("sun.misc.SignalHandler");

    private ProcessSignals() {}

    /**
     * Runs the action each time the signal arrives, on a thread of the JVM.
     *
     * @return whether the parent process had set the signal to be ignored; the JVM then keeps ignoring it
     */
    static boolean handle(String signalName, Runnable action) {
        Object handler =
                Proxy.newProxyInstance(HANDLER.getClassLoader(), new Class<?>[] {HANDLER}, (self, method, args) -> {
                    action.run();
                    return null;
                });
        try {
            Object previousHandler =
                    SIGNAL.getMethod("handle", SIGNAL, HANDLER).invoke(null, signal(signalName), handler);
            return previousHandler == HANDLER.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException("cannot install a handler for SIG" + signalName, failure);
        }
    }

    /** Sends the signal to this process. */
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

    private static Class<?> findClass(String className) {
        try {
            return MethodHandles.lookup().findClass(className);
        } catch (ReflectiveOperationException failure) {
            throw new IllegalStateException(className + " is missing from this JDK", failure);
        }
    }
}
