package linenring.handover;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import linenring.handover.wire.Wire;

/** One end of the Unix-domain socket between two processes: whole messages, in order. */
class HandoverChannel implements AutoCloseable {
    private final SocketChannel channel;

    HandoverChannel(SocketChannel channel) {
        this.channel = channel;
    }

    static HandoverChannel to(Path socket) throws IOException {
        return new HandoverChannel(SocketChannel.open(UnixDomainSocketAddress.of(socket)));
    }

    /** Whether the same user is at the other end. */
    boolean isOurs() throws IOException {
        return channel.getOption(ExtendedSocketOptions.SO_PEERCRED)
                .user()
                .getName()
                .equals(System.getProperty("user.name"));
    }

    /** False where the other end is gone; its end is told to the reader too. */
    synchronized boolean say(Wire.Said what) {
        try {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            what.writeDelimitedTo(out);
            ByteBuffer bytes = ByteBuffer.wrap(out.toByteArray());
            while (bytes.hasRemaining()) { // a stream on the channel would wait for the reader's to let go of its lock
                channel.write(bytes);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Hands over each message on a thread of its own; {@code ended} once, with why, or null at a plain end. */
    void hear(Consumer<Wire.Said> each, Consumer<String> ended) {
        Thread t = new Thread(
                () -> {
                    String why = null;
                    try (InputStream in = Channels.newInputStream(channel)) {
                        for (Wire.Said s = Wire.Said.parseDelimitedFrom(in);
                                s != null;
                                s = Wire.Said.parseDelimitedFrom(in)) {
                            each.accept(s);
                        }
                    } catch (com.google.protobuf.InvalidProtocolBufferException e) {
                        why = "what it says can't be understood";
                    } catch (IOException e) {
                        // its end
                    }
                    ended.accept(why);
                },
                "handover");
        t.setDaemon(true);
        t.start();
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // it is closed
        }
    }
}
