package linenring.gateway;

import org.eclipse.jetty.http2.BufferingFlowControlStrategy;
import org.eclipse.jetty.http2.HTTP2Session;
import org.eclipse.jetty.http2.api.Session;
import org.eclipse.jetty.http2.api.Stream;

/**
 * Opens a session's receive windows (RFC 9113, 5.2) only when the gateway has forwarded the data. Jetty counts data as
 * consumed when its frame is released, but a {@link ReceiveBuffer} releases a frame as soon as its bytes are copied.
 */
final class DeferredFlowControl extends BufferingFlowControlStrategy {
    /** Share of a window that is consumed before a WINDOW_UPDATE is sent; small updates would cost a frame each. */
    private static final float WINDOW_SHARE_PER_UPDATE = 0.5f;

    DeferredFlowControl() {
        super(WINDOW_SHARE_PER_UPDATE);
    }

    /** Returns the flow control of the stream's session; the session must belong to a gateway. */
    static DeferredFlowControl of(Stream stream) {
        return (DeferredFlowControl) ((HTTP2Session) stream.getSession()).getFlowControlStrategy();
    }

    /** Handles the release of a frame; {@code length} includes the padding. */
    @Override
    public void onDataConsumed(Session session, Stream stream, int length) {
        ReceiveBuffer buffer = ReceiveBuffer.of(stream);
        if (buffer == null || !buffer.deferWindow(length)) {
            super.onDataConsumed(session, stream, length);
        }
    }

    /** Opens the windows of the stream and its session by a length that was deferred before. */
    void openWindows(Stream stream, int length) {
        if (length > 0) {
            super.onDataConsumed(stream.getSession(), stream, length);
        }
    }
}
