package linenring.planner;

/** What the proxies of one zone met at hosts of the same zone and elsewhere. */
final class Zone {
    final Outcomes near = new Outcomes();
    final Outcomes far = new Outcomes();
    /** Until then its proxies keep to hosts of the zone; milliseconds. */
    double cutUntil;
}
