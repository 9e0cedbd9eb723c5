package linenring.stream;

import linenring.protocol.InboundMessage;

/**
 * The identity of a connection's peer, and the messages that the peer may send. The first message other than a PING identifies the
 * peer as a proxy or a collector. Guarded by its connection, except for {@link #state} and {@link #describe}, which any thread may
 * call.
 */
final class PeerSession {
    /** The type of the peer, which never returns to unidentified. */
    enum State {
        UNIDENTIFIED,
        COLLECTOR,
        PROXY
    }

    private final OutstandingNonces outstandingNonces = new OutstandingNonces();
    private InboundMessage.Subscribe subscription; // the message that identified a proxy; written before the state
    private volatile State state = State.UNIDENTIFIED;

    State state() {
        return state;
    }

    boolean isIdentified() {
        return state != State.UNIDENTIFIED;
    }

    /** Records that an update with this nonce is being sent to the peer. */
    void recordUpdateSent(int nonce, long nowNanos) {
        outstandingNonces.recordSent(nonce, nowNanos);
    }

    /** Accepts a message, or throws if the peer may not send it in the current state. */
    void accept(InboundMessage message, long nowNanos) throws ConnectionRejectedException, MessageRejectedException {
        boolean isIdentification =
                message instanceof InboundMessage.Subscribe || message instanceof InboundMessage.Collector;
        if (isIdentified()) {
            if (isIdentification) {
                throw new MessageRejectedException("the peer is already identified");
            }
            requireAllowed(message, nowNanos);
        } else if (isIdentification) {
            identify(message);
        } else {
            throw new ConnectionRejectedException("received a report or an acknowledgement before identification");
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
                throw new MessageRejectedException(
                        "unexpected acknowledgement from a collector, which receives no updates");
            }
        } else if (message instanceof InboundMessage.Acknowledgement acknowledgement) {
            requireOwnProxy(acknowledgement);
            outstandingNonces.acknowledge(acknowledgement, nowNanos);
        } else if (!(message instanceof InboundMessage.RequestRateReport report)
                || report.proxy() != subscription.proxy()) {
            throw new MessageRejectedException(
                    "proxy " + subscription.proxy() + " may only send its own request rate reports");
        }
    }

    private void requireOwnProxy(InboundMessage.Acknowledgement acknowledgement) throws MessageRejectedException {
        if (acknowledgement.proxy() != subscription.proxy()) {
            throw new MessageRejectedException("unexpected acknowledgement of nonce " + acknowledgement.nonce()
                    + " from proxy " + acknowledgement.proxy());
        }
    }

    /** Returns the name of the peer in log lines. */
    String describe() {
        return switch (state) {
            case PROXY -> "proxy " + subscription.proxy();
            case COLLECTOR -> "collector";
            case UNIDENTIFIED -> "unidentified peer";
        };
    }
}
