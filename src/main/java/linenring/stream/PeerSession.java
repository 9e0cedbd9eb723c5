package linenring.stream;

import linenring.protocol.InboundMessage;

/**
 * Who is at the other end of a connection, and which messages it may send: the first one that is not a PING says whether it
 * is a proxy or a collector. Guarded by its connection, but for {@link #state} and {@link #describe}, which any thread may
 * call.
 */
final class PeerSession {
    /** What is known of the peer. It never changes back. */
    enum State {
        UNIDENTIFIED,
        COLLECTOR,
        PROXY
    }

    private final OutstandingNonces outstandingNonces = new OutstandingNonces();
    private InboundMessage.Subscribe subscription; // a proxy's first message; written before the state
    private volatile State state = State.UNIDENTIFIED;

    State state() {
        return state;
    }

    boolean isIdentified() {
        return state != State.UNIDENTIFIED;
    }

    /** An update with this nonce is sent to the peer now. */
    void recordUpdateSent(int nonce, long nowNanos) {
        outstandingNonces.recordSent(nonce, nowNanos);
    }

    /** Accepts a message, or throws where this peer may not send it, or not now. */
    void accept(InboundMessage message, long nowNanos) throws ConnectionRejectedException, MessageRejectedException {
        boolean identifies = message instanceof InboundMessage.Subscribe || message instanceof InboundMessage.Collector;
        if (isIdentified()) {
            if (identifies) {
                throw new MessageRejectedException("it has identified itself before");
            }
            requireAllowed(message, nowNanos);
        } else if (identifies) {
            identify(message);
        } else {
            throw new ConnectionRejectedException("sends reports or acknowledgements before it identifies itself");
        }
    }

    private void identify(InboundMessage message) {
        if (message instanceof InboundMessage.Subscribe subscribe) {
            subscription = subscribe;
            state = State.PROXY;
        } else {
            state = State.COLLECTOR;
        }
    }

    private void requireAllowed(InboundMessage message, long nowNanos) throws MessageRejectedException {
        if (state == State.COLLECTOR) {
            if (message instanceof InboundMessage.Acknowledgement) {
                throw new MessageRejectedException("a collector acknowledges no updates");
            }
        } else if (message instanceof InboundMessage.Acknowledgement acknowledgement) {
            requireOwnProxy(acknowledgement);
            outstandingNonces.acknowledge(acknowledgement, nowNanos);
        } else if (!(message instanceof InboundMessage.RequestRateReport report)
                || report.proxy() != subscription.proxy()) {
            throw new MessageRejectedException("proxy " + subscription.proxy() + " may not report it");
        }
    }

    private void requireOwnProxy(InboundMessage.Acknowledgement acknowledgement) throws MessageRejectedException {
        if (acknowledgement.proxy() != subscription.proxy()) {
            throw new MessageRejectedException("no acknowledgement of nonce " + acknowledgement.nonce()
                    + " is due from proxy " + acknowledgement.proxy());
        }
    }

    /** The peer as the log names it. */
    String describe() {
        return switch (state) {
            case PROXY -> "proxy " + subscription.proxy();
            case COLLECTOR -> "collector";
            case UNIDENTIFIED -> "unidentified peer";
        };
    }
}
