package linenring.planner;

/** What one proxy was sent at one time. Times are milliseconds on the planner's clock. */
final class SentMessage {
    final int mark;
    final double sentAt;
    /** Lines, the cost of the message itself included. */
    final double lines;
    /** When it has left the channel if that keeps its stated pace. */
    final double leavesBy;
    /** By how much what was sent before it took longer than that. */
    double slowdown = 1;
    /** Its answer, or that of a later message to the same proxy, has come. */
    boolean acknowledged;
    /** Its stream has ended. */
    boolean lost;

    SentMessage(int mark, double sentAt, double lines, double leavesBy) {
        this.mark = mark;
        this.sentAt = sentAt;
        this.lines = lines;
        this.leavesBy = leavesBy;
    }
}
