package linenring.controller;

/** Whether a proxy has a host ejected, as far as the controller knows. */
enum EjectionStatus {
    /** It has not. */
    NOT_EJECTED,
    /** This controller has told it to, on its present stream. */
    EJECTED,
    /** This controller told it to on an earlier stream, with which the update may have been lost. */
    UNCERTAIN,
    /** Another controller, or an earlier process of this one, may have told it to. */
    UNKNOWN
}
