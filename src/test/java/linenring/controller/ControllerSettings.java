package linenring.controller;

import linenring.settings.Lookup;

/** Settings for a controller of two proxies and two operations, under the names that the simulator's protocol uses. */
final class ControllerSettings extends Lookup {
    /** Settings in the text format that the simulator sends. */
    static final String DEFAULT_TEXT =
            "Azs=a,b Classes.count=2 Classes.0.Aim=750000 Classes.0.Name=lookup Classes.0.Points=2.0"
                    + " Classes.1.Aim=1200000 Classes.1.Name=order Classes.1.Points=3.0 Contract.Cold=18000000 Contract.ColdFrom=0.18"
                    + " Contract.StopSendingWithin=2500000 Discovery=pushed Kinds=m1 Quantum=4000 Specifics.CountedOver=10000000"
                    + " Specifics.DefaultSize=6 Specifics.MostWaiting=1800.0 Specifics.PerMessage=4.0 Specifics.Propagation=103000"
                    + " Specifics.ProxyCount=2 Specifics.PushRate=1200.0 Specifics.ThrottleBy=fraction Specifics.TransitMax=257500"
                    + " Specifics.UpdateCap=30";

    private final String text;

    ControllerSettings(String text) {
        this.text = text;
    }

    @Override
    public String find(String path) {
        for (String pair : text.split(" ", -1)) {
            if (pair.startsWith(path + "=")) {
                return pair.substring(path.length() + 1);
            }
        }
        return null;
    }

    @Override
    protected RuntimeException invalidValue(String path, String problem) {
        return new IllegalArgumentException(path + problem);
    }
}
