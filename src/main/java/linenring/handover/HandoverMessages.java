package linenring.handover;

import linenring.handover.wire.HandoverProtocol.Abort;
import linenring.handover.wire.HandoverProtocol.Commit;
import linenring.handover.wire.HandoverProtocol.HandoverMessage;
import linenring.handover.wire.HandoverProtocol.Hello;
import linenring.handover.wire.HandoverProtocol.Offer;
import linenring.handover.wire.HandoverProtocol.Owned;
import linenring.handover.wire.HandoverProtocol.Ready;
import linenring.handover.wire.HandoverProtocol.Retire;
import linenring.handover.wire.HandoverProtocol.UpgradeOutcome;
import linenring.handover.wire.HandoverProtocol.UpgradeRequest;

/** Creates the messages of a handover. */
final class HandoverMessages {
    private HandoverMessages() {}

    /** Creates the first message of the new process, which names its protocol, release and process id. */
    static HandoverMessage hello(String release) {
        Hello hello = Hello.newBuilder()
                .setProtocol(HandoverSender.PROTOCOL)
                .setRelease(release)
                .setPid(ProcessHandle.current().pid())
                .build();
        return HandoverMessage.newBuilder().setHello(hello).build();
    }

    static HandoverMessage offer(Offer offer) {
        return HandoverMessage.newBuilder().setOffer(offer).build();
    }

    static HandoverMessage ready() {
        return HandoverMessage.newBuilder().setReady(Ready.getDefaultInstance()).build();
    }

    static HandoverMessage commit() {
        return HandoverMessage.newBuilder()
                .setCommit(Commit.getDefaultInstance())
                .build();
    }

    static HandoverMessage owned() {
        return HandoverMessage.newBuilder().setOwned(Owned.getDefaultInstance()).build();
    }

    static HandoverMessage retire() {
        return HandoverMessage.newBuilder()
                .setRetire(Retire.getDefaultInstance())
                .build();
    }

    static HandoverMessage abort(String reason) {
        return HandoverMessage.newBuilder()
                .setAbort(Abort.newBuilder().setReason(reason))
                .build();
    }

    static HandoverMessage upgradeRequest() {
        return HandoverMessage.newBuilder()
                .setUpgradeRequest(UpgradeRequest.getDefaultInstance())
                .build();
    }

    static HandoverMessage upgradeOutcome(boolean succeeded, String message) {
        UpgradeOutcome outcome = UpgradeOutcome.newBuilder()
                .setSucceeded(succeeded)
                .setMessage(message)
                .build();
        return HandoverMessage.newBuilder().setUpgradeOutcome(outcome).build();
    }
}
