package linenring.scale.catalogue;

/** The answers of the discovery agent, with faults on command, without I/O. */
final class CatalogueAnswers {
    /** The body of an answer; of one that is cut, the connection ends within an entry. */
    static final class Body {
        private final byte[] bytes;
        private final int sentBytes;

        private Body(byte[] bytes, int sentBytes) {
            this.bytes = bytes;
            this.sentBytes = sentBytes;
        }

        /** All of it; not to be changed by the caller. */
        byte[] bytes() {
            return bytes;
        }

        /** How many of its bytes are sent before the connection ends; all of them if it is not cut. */
        int sentBytes() {
            return sentBytes;
        }

        boolean isCut() {
            return sentBytes < bytes.length;
        }
    }

    private final Catalogue catalogue;
    private boolean silent;
    private int listsToCut;
    private int listsToCorrupt;
    private int entriesToCorrupt;

    CatalogueAnswers(Catalogue catalogue) {
        this.catalogue = catalogue;
    }

    /** While it is silent nothing is answered and no change is sent. */
    synchronized void setSilent(boolean newSilent) {
        silent = newSilent;
    }

    synchronized boolean isSilent() {
        return silent;
    }

    /** That many of the next complete lists are cut off within an entry. */
    synchronized void cutNextLists(int lists) {
        listsToCut = lists;
    }

    /** In that many of the next complete lists that many entries can't be read. */
    synchronized void corruptNextLists(int lists, int entries) {
        listsToCorrupt = lists;
        entriesToCorrupt = entries;
    }

    /** The complete list, for one request. */
    synchronized Body list() {
        CatalogueChange complete = catalogue.snapshot();
        if (listsToCorrupt > 0) {
            listsToCorrupt--;
            byte[] corrupted = CatalogueJson.line(complete, entriesToCorrupt);
            return new Body(corrupted, corrupted.length);
        }
        byte[] bytes = complete.encoded();
        if (listsToCut > 0) {
            listsToCut--;
            return new Body(bytes, bytes.length / 2 + bytes.length / 4); // three quarters
        }
        return new Body(bytes, bytes.length);
    }
}
