package linenring.scale.catalogue;

/** Builds the discovery agent's responses, and injects faults into them on command. Without I/O; thread-safe. */
final class CatalogueResponses {
    /** The body of a response. A truncated body ends within an entry, and the connection is closed there. */
    static final class ResponseBody {
        private final byte[] bytes;
        private final int sentBytes;

        private ResponseBody(byte[] bytes, int sentBytes) {
            this.bytes = bytes;
            this.sentBytes = sentBytes;
        }

        /** Returns the complete body; callers must not modify the array. */
        byte[] bytes() {
            return bytes;
        }

        /** Returns the number of bytes to send; fewer than the complete body if the response is truncated. */
        int sentBytes() {
            return sentBytes;
        }

        boolean isTruncated() {
            return sentBytes < bytes.length;
        }
    }

    private final Catalogue catalogue;
    private boolean silent;
    private int listsToTruncate;
    private int listsToCorrupt;
    private int entriesToCorrupt;

    CatalogueResponses(Catalogue catalogue) {
        this.catalogue = catalogue;
    }

    /** Makes the agent silent or responsive; a silent agent answers no request and sends no change. */
    synchronized void setSilent(boolean isSilent) {
        silent = isSilent;
    }

    synchronized boolean isSilent() {
        return silent;
    }

    /** Truncates the next complete lists within an entry; {@code lists} is the number of lists. */
    synchronized void cutNextLists(int lists) {
        listsToTruncate = lists;
    }

    /** Makes the first {@code entries} entries invalid in each of the next {@code lists} complete lists. */
    synchronized void corruptNextLists(int lists, int entries) {
        listsToCorrupt = lists;
        entriesToCorrupt = entries;
    }

    /** Returns the complete list as the response to one request, with the next injected fault. */
    synchronized ResponseBody completeList() {
        CatalogueChange complete = catalogue.snapshot();
        if (listsToCorrupt > 0) {
            listsToCorrupt--;
            byte[] corrupted = CatalogueJson.line(complete, entriesToCorrupt);
            return new ResponseBody(corrupted, corrupted.length);
        }
        byte[] bytes = complete.encoded();
        if (listsToTruncate > 0) {
            listsToTruncate--;
            return new ResponseBody(bytes, bytes.length / 2 + bytes.length / 4); // three quarters
        }
        return new ResponseBody(bytes, bytes.length);
    }
}
