package linenring.controller;

/** Whether a proxy has a host ejected, as far as the controller knows. Stored by its code, one byte a host and proxy. */
enum EjectionStatus {
    /** It has not. */
    NOT_EJECTED(0),
    /** This controller has told it to, on its present stream. */
    EJECTED(1),
    /** This controller told it to on an earlier stream, with which the update may have been lost. */
    UNCERTAIN(2),
    /** Another controller, or an earlier process of this one, may have told it to. */
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
