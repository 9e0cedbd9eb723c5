package linenring.discovery;

/** A request to a discovery agent: one complete list, or a watch that stays open. */
record ListRequest(String target, boolean isForCompleteList) {
    private static final String MEMBERS_PATH = "/catalog/members";

    static ListRequest completeList() {
        return new ListRequest(MEMBERS_PATH, true);
    }

    /** Requests a watch of the changes after this version. */
    static ListRequest watchFrom(long version) {
        return new ListRequest(MEMBERS_PATH + "?watch=1&from=" + version, false);
    }
}
