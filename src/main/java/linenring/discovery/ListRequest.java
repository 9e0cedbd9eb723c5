package linenring.discovery;

/** What is requested of discovery's agent: the whole list once, or a watch that stays open. */
record ListRequest(String target, boolean isForWholeList) {
    private static final String MEMBERS = "/catalog/members";

    static ListRequest wholeList() {
        return new ListRequest(MEMBERS, true);
    }

    /** All that changes after this version. */
    static ListRequest watchFrom(long version) {
        return new ListRequest(MEMBERS + "?watch=1&from=" + version, false);
    }
}
