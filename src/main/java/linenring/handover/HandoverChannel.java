package linenring.handover;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.Optional;
import jdk.net.ExtendedSocketOptions;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;

/** One end of the Unix-domain socket between two processes, which carries messages in order. Any thread may send. */
class HandoverChannel implements AutoCloseable {
    /** Receives the messages of the other end, on a thread of the channel. */
    interface Listener {
        void onMessage(HandoverMessage message);

        /** Called once, after the last message; with a reason if a malformed message ended the channel. */
        void onEnd(Optional<String> fault);
    }

    private final SocketChannel channel;

    HandoverChannel(SocketChannel channel) {
        this.channel = channel;
    }

    static HandoverChannel connect(Path socket) throws IOException {
        return new HandoverChannel(SocketChannel.open(UnixDomainSocketAddress.of(socket)));
    }

    /** Whether the process at the other end belongs to the same user. */
    boolean belongsToSameUser() throws IOException {
        return channel.getOption(ExtendedSocketOptions.SO_PEERCRED)
                .user()
                .getName()
                .equals(System.getProperty("user.name"));
    }

    /** Sends a message. A closed connection is ignored here, since the listener is notified of its end. */
    synchronized void send(HandoverMessage message) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            message.writeDelimitedTo(out);
            ByteBuffer bytes = ByteBuffer.wrap(out.toByteArray());
            while (bytes.hasRemaining()) { // an output stream would wait for the reader's lock
                channel.write(bytes);
            }
        } catch (IOException failure) {
            // the reading thread notices the closed connection as well
        }
    }

    /** Starts a thread that reads messages and passes them to the listener. */
    void listen(Listener listener) {
        DaemonThreads.newThread("handover", () -> listener.onEnd(readAll(listener)))
                .start();
    }

    private Optional<String> readAll(Listener listener) {
        try (InputStream input = Channels.newInputStream(channel)) {
            HandoverMessage message = HandoverMessage.parseDelimitedFrom(input);
            while (message != null) {
                listener.onMessage(message);
                message = HandoverMessage.parseDelimitedFrom(input);
            }
        } catch (InvalidProtocolBufferException failure) {
            return Optional.of("the other process sent a malformed message");
        } catch (IOException failure) {
            // the other process has closed the connection
        }
        return Optional.empty();
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException failure) {
            // the channel is closed even if close() throws
        }
    }
}
