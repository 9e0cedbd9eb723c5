package linenring.scale.catalogue;

/** What the catalogue's agent answers, faults on command included, without I/O. */
final class CatalogueAnswers {
    /**
     * A body.
     *
     * @param length how many of its bytes are sent before the connection ends; all of them where it is not cut
     */
    record Body(byte[] bytes, int length) {
        boolean isCut() {
            return length < bytes.length;
        }
    }

    private final Catalogue catalogue;
    private boolean silent;
    private int cutLists, spoiltLists, spoiltEntries;

    CatalogueAnswers(Catalogue catalogue) {
        this.catalogue = catalogue;
    }

    /** While it is silent nothing is answered and nothing is told. */
    synchronized void silent(boolean is) {
        silent = is;
    }

    synchronized boolean isSilent() {
        return silent;
    }

    /** So many of the next whole lists are cut off within an entry. */
    synchronized void cutNextLists(int lists) {
        cutLists = lists;
    }

    /** In so many of the next whole lists so many entries can't be read. */
    synchronized void spoilNextLists(int lists, int entries) {
        spoiltLists = lists;
        spoiltEntries = entries;
    }

    /** The whole list, as it is asked for once. */
    synchronized Body list() {
        CatalogueChange whole = catalogue.snapshot();
        if (spoiltLists > 0) {
            spoiltLists--;
            byte[] spoilt = CatalogueJson.line(whole, spoiltEntries);
            return new Body(spoilt, spoilt.length);
        }
        byte[] bytes = whole.encoded();
        if (cutLists > 0) {
            cutLists--;
            return new Body(bytes, bytes.length / 2 + bytes.length / 4);
        }
        return new Body(bytes, bytes.length);
    }
}
