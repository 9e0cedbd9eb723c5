package linenring.routing;

import java.util.List;

/** Signals a configuration update that a proxy cannot apply; the proxy's tables are unchanged. */
public final class InvalidUpdateException extends Exception {
    private static final long serialVersionUID = 1;

    /** The kind of error in an update. */
    public enum Problem {
        /** The update names an operation that the proxy does not have. */
        UNKNOWN_OPERATION,
        /** The update names a host that no endpoint list has contained. */
        UNLISTED_HOST,
        /** A weight is not a finite number of at least 0. */
        INVALID_WEIGHT,
        /** An admission ratio is below 0, or the code of a retry policy is unknown. */
        INVALID_ADMISSION
    }

    private final Problem problem;

    private InvalidUpdateException(Problem problem, String message) {
        super(message);
        this.problem = problem;
    }

    static InvalidUpdateException unknownOperation(String operation, List<String> knownOperations) {
        return new InvalidUpdateException(
                Problem.UNKNOWN_OPERATION,
                "unknown operation '" + operation + "'; expected one of " + String.join(", ", knownOperations));
    }

    static InvalidUpdateException unlistedHost(String host) {
        return new InvalidUpdateException(Problem.UNLISTED_HOST, "host '" + host + "' was never listed");
    }

    static InvalidUpdateException invalidWeight(String host, double weight) {
        return new InvalidUpdateException(
                Problem.INVALID_WEIGHT,
                "invalid weight " + weight + " of host '" + host + "'; expected a finite number of at least 0");
    }

    static InvalidUpdateException invalidAdmission(double admissionRatio, int retryPolicy, int retryPolicyCount) {
        return new InvalidUpdateException(
                Problem.INVALID_ADMISSION,
                "invalid admission ratio " + admissionRatio + " or retry policy " + retryPolicy
                        + "; expected a ratio of at least 0 and a retry policy from 0 to " + (retryPolicyCount - 1));
    }

    /** Returns the kind of error in the update. */
    public Problem problem() {
        return problem;
    }
}
