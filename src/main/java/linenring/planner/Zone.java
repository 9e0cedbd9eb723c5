package linenring.planner;

/** What the proxies of one zone met at hosts of the same zone and elsewhere. */
final class Zone {
    final Outcomes near = new Outcomes();
    final Outcomes far = new Outcomes();
    /** Until then its proxies keep to hosts of the zone; milliseconds. */
    double cutUntil;

    void fade(double keep) {
        near.scale(keep);
        far.scale(keep);
    }

    /** Whether time alone changes nothing here: no sums that fade, no cut that ends. */
    boolean isQuiet(double now) {
        return near.ended == 0 && far.ended == 0 && now >= cutUntil;
    }
}
