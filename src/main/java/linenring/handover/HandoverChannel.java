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

/** One end of the Unix-domain socket between two processes: whole messages, in order. Any thread may send. */
class HandoverChannel implements AutoCloseable {
    /** Notified of what the other end sends, on one thread of the channel's own. */
    interface Listener {
        void onMessage(HandoverMessage message);

        /** Once, after the last message; with a fault where what was sent could not be understood. */
        void onEnd(Optional<String> fault);
    }

    private final SocketChannel channel;

    HandoverChannel(SocketChannel channel) {
        this.channel = channel;
    }

    static HandoverChannel connect(Path socket) throws IOException {
        return new HandoverChannel(SocketChannel.open(UnixDomainSocketAddress.of(socket)));
    }

    /** Whether the process at the other end is of the same user. */
    boolean isOfSameUser() throws IOException {
        return channel.getOption(ExtendedSocketOptions.SO_PEERCRED)
                .user()
                .getName()
                .equals(System.getProperty("user.name"));
    }

    /** Sends a message. Where the other end is gone nothing happens: the listener is notified of that end. */
    synchronized void send(HandoverMessage message) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            message.writeDelimitedTo(out);
            ByteBuffer bytes = ByteBuffer.wrap(out.toByteArray());
            while (bytes.hasRemaining()) { // a stream on the channel would wait for the reader to release its lock
                channel.write(bytes);
            }
        } catch (IOException failure) {
            // the reader sees the end as well
        }
    }

    /** Starts to read. */
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
            return Optional.of("what it sends cannot be understood");
        } catch (IOException failure) {
            // the other end is gone
        }
        return Optional.empty();
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException failure) {
            // it is closed all the same
        }
    }
}
