package linenring.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;
import linenring.handover.wire.HandoverProtocol.Hello;
import linenring.handover.wire.HandoverProtocol.Host;
import linenring.handover.wire.HandoverProtocol.HostList;
import linenring.handover.wire.HandoverProtocol.Offer;
import org.junit.jupiter.api.Test;

/**
 * The other process may run an older or a later release. If a field number changed, upgrades would fail, or the new process
 * would start with wrong hosts. The expected bytes were written by release 468ca15, before its messages were renamed.
 */
class HandoverWireTest {
    private static void assertEncoding(String hex, HandoverMessage message) {
        assertEquals(hex, HexFormat.of().formatHex(message.toByteArray()));
    }

    @Test
    void writesTheGreetingAsOlderReleasesDo() {
        Hello hello =
                Hello.newBuilder().setProtocol(1).setRelease("0.9").setPid(4711).build();
        assertEncoding(
                "0a0a08011203302e3918e724",
                HandoverMessage.newBuilder().setHello(hello).build());
    }

    @Test
    void writesTheOfferAsOlderReleasesDo() {
        Host host = Host.newBuilder()
                .setId("s-1")
                .setZone(1)
                .setKind(2)
                .setState(1)
                .setWeight(0.5)
                .setStartedMs(1000)
                .setAddress("10.0.0.1:80")
                .setCell(-1)
                .build();
        HostList list = HostList.newBuilder()
                .setVersion(41)
                .setScoped(true)
                .addServices("svc-1")
                .addHosts(host)
                .build();
        Offer offer = Offer.newBuilder()
                .setProtocol(1)
                .setRelease("0.9")
                .setList(list)
                .build();
        assertEncoding(
                "124208011203302e391a390829122c0a03732d3110011802200129000000000000e03f310000000000408f40"
                        + "3a0b31302e302e302e313a383040011a057376632d312001",
                HandoverMessages.offer(offer));
    }

    @Test
    void writesEachStepAsOlderReleasesDo() {
        assertEncoding("1a00", HandoverMessages.ready());
        assertEncoding("2200", HandoverMessages.commit());
        assertEncoding("2a00", HandoverMessages.owned());
        assertEncoding("3200", HandoverMessages.retire());
        assertEncoding("3a040a026e6f", HandoverMessages.abort("no"));
    }

    @Test
    void writesTheRequestAndItsOutcomeAsOlderReleasesDo() {
        assertEncoding("4200", HandoverMessages.upgradeRequest());
        assertEncoding("4a0808011204646f6e65", HandoverMessages.upgradeOutcome(true, "done"));
    }
}
