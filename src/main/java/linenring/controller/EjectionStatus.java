package linenring.controller;

/** Whether a proxy has ejected a host, as far as the controller knows. Stored as a one-byte code for each host and proxy. */
enum EjectionStatus {
    /** The proxy has not ejected the host. */
    NOT_EJECTED(0),
    /** This controller has sent the proxy an ejection of the host on the proxy's current stream. */
    EJECTED(1),
    /**
     * This controller sent the proxy an ejection of the host on an earlier stream; the update may have been lost with that
     * stream.
     */
    UNCERTAIN(2),
    /** Another controller, or an earlier process of this controller, may have sent the proxy an ejection of the host. */
    UNKNOWN(3);

    private static final EjectionStatus[] ALL_BY_CODE = {NOT_EJECTED, EJECTED, UNCERTAIN, UNKNOWN};

    private final byte code;

    EjectionStatus(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }

    static EjectionStatus ofCode(byte code) {
        return ALL_BY_CODE[code];
    }
}
