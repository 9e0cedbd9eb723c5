package linenring.routing;

import java.util.List;

/** A configuration update that a proxy cannot apply; its tables are as they were before. */
public final class UnusableUpdateException extends Exception {
    private static final long serialVersionUID = 1;

    /** What is wrong with the update. */
    public enum Problem {
        /** It names an operation that the proxy does not know. */
        UNKNOWN_OPERATION,
        /** It names a host that was never listed. */
        UNLISTED_HOST,
        /** A weight is no finite number from 0 on. */
        INVALID_WEIGHT,
        /** An admission ratio is under 0, or there is no such retry policy. */
        INVALID_ADMISSION
    }

    private final Problem problem;

    private UnusableUpdateException(Problem problem, String message) {
        super(message);
        this.problem = problem;
    }

    static UnusableUpdateException unknownOperation(String operation, List<String> known) {
        return new UnusableUpdateException(
                Problem.UNKNOWN_OPERATION,
                "unknown operation '" + operation + "'; known are " + String.join(", ", known));
    }

    static UnusableUpdateException unlistedHost(String host) {
        return new UnusableUpdateException(Problem.UNLISTED_HOST, "host '" + host + "' was never listed");
    }

    static UnusableUpdateException invalidWeight(String host, double weight) {
        return new UnusableUpdateException(
                Problem.INVALID_WEIGHT,
                "weight " + weight + " of host '" + host + "'; a finite number from 0 on is expected");
    }

    static UnusableUpdateException invalidAdmission(double admissionRatio, int retryPolicy, int retryPolicies) {
        return new UnusableUpdateException(
                Problem.INVALID_ADMISSION,
                "admission ratio " + admissionRatio + " with retry policy " + retryPolicy
                        + "; a ratio from 0 on and a policy from 0 to " + (retryPolicies - 1) + " are expected");
    }

    /** What is wrong with the update. */
    public Problem problem() {
        return problem;
    }
}
