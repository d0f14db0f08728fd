package io.hornbeamfield.core.route;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The region of each availability zone. Without a declaration home regions have no effect.
 *
 * @param regionByZone name of the region of each zone that has a declared region
 */
public record ZoneRegions(Map<String, String> regionByZone) {
    public ZoneRegions {
        regionByZone = Map.copyOf(regionByZone);
    }

    /** Returns the declared regions of the zones, and of an instance's own zone if its region is declared. */
    public static ZoneRegions of(Map<String, String> regionByZone, String ownZone, String ownRegion) {
        Map<String, String> all = new HashMap<>(regionByZone);
        if (!ownRegion.isEmpty()) {
            all.putIfAbsent(ownZone, ownRegion);
        }
        return new ZoneRegions(all);
    }

    /** Returns whether any region is declared. */
    public boolean declared() {
        return !regionByZone.isEmpty();
    }

    /** Returns the region of a zone, empty if it is unknown. */
    public Optional<String> of(String zone) {
        return Optional.ofNullable(regionByZone.get(zone));
    }
}
