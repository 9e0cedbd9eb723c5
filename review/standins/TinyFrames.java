import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linenring.testserver.Frame;
import linenring.testserver.TestBackend;
import linenring.testserver.TestClient;

/** One client sends some uploads of 64 KiB, each within its window, in DATA frames of one byte; another one calls steadily. */
public final class TinyFrames {
    private static final int HOSTS = 2;
    private static final int UPLOADS = 16;
    /** Below the gateway's window of a stream, 64 KiB by default, so that no window update is needed. */
    private static final int BODY_BYTES = 65_535;

    private static final int FRAME_HEADER_BYTES = 9;
    private static final int BYTES_PER_TURN = 2000;
    private static final double OBSERVED_S = 15;

    public static void main(String[] arguments) throws Exception {
        boolean isKept;
        try (Lab lab = new Lab(Path.of(arguments[0]))) {
            isKept = run(lab);
        }
        System.exit(isKept ? 0 : 1);
    }

    private static boolean run(Lab lab) throws Exception {
        TestBackend[] hosts = new TestBackend[HOSTS];
        Discovery.Catalogue catalogue = new Discovery.Catalogue(lab, 40);
        for (int i = 0; i < HOSTS; i++) {
            hosts[i] = new TestBackend();
            catalogue.set("s-" + (i + 1), hosts[i].address(), "Ready");
        }
        Discovery discovery = new Discovery(lab, catalogue, "discovery");
        Process process = lab.serve(
                lab.writeConfiguration(discovery.address(), catalogue.list(0, true)), lab.writeGatewaySettings(""));
        Caller caller = new Caller(lab, 20);
        Lab.pause(5);
        lab.note("answers to the steady client before: " + caller.takeOutcomes());
        int frameBytes = Lab.TROUBLE ? 1 : BYTES_PER_TURN;
        try (TestClient client = new TestClient(lab.gatewayPort)) {
            Lab.pause(1); // the gateway's SETTINGS and its window of the connection have arrived by then
            List<Integer> uploads = new ArrayList<>();
            for (int i = 0; i < UPLOADS; i++) {
                uploads.add(client.sendHeaders("POST", "/book", false));
            }
            lab.note("another client sends " + UPLOADS + " uploads of " + BODY_BYTES + " bytes in frames of " + frameBytes
                    + " bytes");
            try {
                sendBodies(client, uploads, frameBytes);
                lab.note("the uploads were sent");
            } catch (IOException failure) {
                lab.note("the uploads' connection has ended: " + failure.getMessage());
            }
            boolean hasEnded = process.waitFor((long) (OBSERVED_S * 1000), TimeUnit.MILLISECONDS);
            for (int upload : uploads) {
                lab.note("upload " + upload + " is answered " + client.response(upload).status());
            }
            caller.end();
            lab.note("answers to the steady client afterwards: " + caller.takeOutcomes());
            lab.note("the controller answers a PING: " + lab.answersPing());
            lab.note(hasEnded
                    ? "BROKEN: the process of the controller and its gateway has ended by itself, exit code "
                            + process.exitValue()
                    : "HELD");
            return !hasEnded;
        }
    }

    /** Sends a part of each body in turn. */
    private static void sendBodies(TestClient client, List<Integer> uploads, int frameBytes) throws IOException {
        for (int sent = 0; sent < BODY_BYTES; sent += BYTES_PER_TURN) {
            int bytes = Math.min(BYTES_PER_TURN, BODY_BYTES - sent);
            boolean isLast = sent + bytes == BODY_BYTES;
            for (int upload : uploads) {
                client.frames().sendBytes(frames(upload, bytes, frameBytes, isLast));
            }
        }
    }

    private static byte[] frames(int stream, int bytes, int frameBytes, boolean isLast) {
        int count = (bytes + frameBytes - 1) / frameBytes;
        byte[] frames = new byte[bytes + count * FRAME_HEADER_BYTES];
        int position = 0;
        for (int i = 0; i < count; i++) {
            int length = Math.min(frameBytes, bytes - i * frameBytes);
            frames[position + 1] = (byte) (length >> 8);
            frames[position + 2] = (byte) length;
            frames[position + 3] = Frame.DATA;
            frames[position + 4] = (byte) (isLast && i == count - 1 ? Frame.END_STREAM : 0);
            frames[position + 7] = (byte) (stream >> 8);
            frames[position + 8] = (byte) stream;
            position += FRAME_HEADER_BYTES + length;
        }
        return frames;
    }
}
