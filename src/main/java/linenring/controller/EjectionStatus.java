package linenring.controller;

/** Whether a proxy has a host ejected, as far as the controller knows. Stored by its code, one byte a host and proxy. */
enum EjectionStatus {
    /** It has not. */
    NOT_EJECTED(0),
    /** This controller has sent it an ejection of the host, on its present stream. */
    EJECTED(1),
    /** This controller sent it an ejection on an earlier stream, with which the update may have been lost. */
    UNCERTAIN(2),
    /** Another controller, or an earlier process of this one, may have sent it an ejection. */
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
