package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The availability zones whose backend servers get nothing new because operators evacuate them. An evacuation lasts
 * until it is known to have been removed: while the store is unreachable, the last known state applies. Not
 * thread-safe.
 *
 * <p>The load is a zone with a third of a service's servers (14 of 42) that must be empty 5 s after the request to
 * evacuate it, while instances start, are partitioned or have missed the store's history.
 *
 * <pre>{@code
 * evacuations.replaceAll(listedZones);
 * Map<String, List<BackendServer>> usable = ZoneEvacuations.usable(registered, evacuations.sinceMs().keySet());
 * }</pre>
 */
public final class ZoneEvacuations {
    /** A fleet has up to 5 zones; the rest is room for misspelled names. */
    static final int MAX_ZONES = 64;

    private final Clock clock;
    private final Predicate<String> isKnownZone;
    private final Map<String, Long> sinceMs = new HashMap<>();

    /**
     * Creates a state without evacuations.
     *
     * @param isKnownZone whether a zone is known to exist, which decides what is kept if there are too many names
     */
    public ZoneEvacuations(Clock clock, Predicate<String> isKnownZone) {
        this.clock = clock;
        this.isKnownZone = isKnownZone;
    }

    /** Applies a complete list of the evacuated zones. Evacuations that are not listed have ended. */
    public void replaceAll(Collection<String> zones) {
        sinceMs.keySet().retainAll(new HashSet<>(zones));
        zones.forEach(this::begin);
    }

    /**
     * Applies the request to evacuate a zone. A name that no zone has matches no server; it is kept because the first
     * server of a zone may register later.
     *
     * @return whether the name is kept; only an unknown one among too many is not
     */
    public boolean begin(String zone) {
        if (!sinceMs.containsKey(zone) && sinceMs.size() >= MAX_ZONES) {
            Optional<String> unknown =
                    sinceMs.keySet().stream().filter(z -> !isKnownZone.test(z)).findFirst();
            if (unknown.isEmpty() || !isKnownZone.test(zone)) {
                return false;
            }
            sinceMs.remove(unknown.get());
        }
        sinceMs.putIfAbsent(zone, clock.millis());
        return true;
    }

    /** Applies the removal of the request to evacuate a zone. */
    public void end(String zone) {
        sinceMs.remove(zone);
    }

    /** Returns the evacuated zones, each with the time at which this instance learned of its evacuation. */
    public Map<String, Long> sinceMs() {
        return Map.copyOf(sinceMs);
    }

    /** Returns the servers that are outside the given zones, by service. */
    public static Map<String, List<BackendServer>> usable(
            Map<String, List<BackendServer>> registered, Set<String> evacuated) {
        return evacuated.isEmpty()
                ? registered
                : registered.entrySet().stream()
                        .collect(Collectors.toUnmodifiableMap(
                                Map.Entry::getKey,
                                e -> e.getValue().stream()
                                        .filter(s -> !evacuated.contains(s.zone()))
                                        .toList()));
    }
}
