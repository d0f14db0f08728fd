package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Determines which share of a zone's callers is directed to other zones. The share rises while the zone as a whole is
 * overloaded and another one is not, and falls slowly, because the load of a zone has waves of 11 to 17 s and callers
 * follow an answer only some seconds later: a share that followed each wave would arrive in the next trough.
 */
final class ZoneOverflow {
    private static final double OVERLOAD = 0.75;
    private static final double LOW_LOAD = 0.6;

    /** Smaller differences are within the error of figures that are up to some seconds old. */
    private static final double MIN_DIFFERENCE = 0.1;

    private static final double RISE_PER_SECOND = 0.08;
    private static final double FALL_PER_SECOND = 0.01;

    /** The caller's zone keeps the greater part, because traffic between zones is charged and slower. */
    private static final double MAX_SHARE = 0.45;

    /** Share of its callers that the remains of a zone pass on if most of its capacity is lost. */
    private static final double MAX_LOSS_SHARE = 0.9;

    /** A smaller loss, such as a restart of single instances, is left to the measured load. */
    private static final double MIN_LOSS = 0.25;

    /** Time in which the remembered capacity of a zone falls to zero; its callers keep their addresses for seconds. */
    private static final double CAPACITY_MEMORY_S = 120;

    /** Without answers no state is needed for longer. */
    private static final double MAX_STEP_S = 2;

    private final Clock clock;
    private final Map<String, Memory> memories = new HashMap<>();
    private Map<String, State> states = Map.of();
    private long updatedMs;

    /**
     * State of a zone.
     *
     * @param capacity total capacity of its instances
     * @param load their mean load, weighted by capacity; empty if unknown
     */
    record State(double capacity, OptionalDouble load) {}

    private record Memory(double capacity, double share) {}

    ZoneOverflow(Clock clock) {
        this.clock = clock;
        updatedMs = clock.millis();
    }

    void update(Map<String, State> next) {
        long now = clock.millis();
        double seconds = Math.min(MAX_STEP_S, (now - updatedMs) / 1_000.0);
        updatedMs = now;
        states = next;
        memories.keySet().retainAll(next.keySet());
        next.forEach((zone, s) -> {
            Memory m = memories.getOrDefault(zone, new Memory(s.capacity(), 0));
            double remembered = Math.max(s.capacity(), m.capacity() * (1 - seconds / CAPACITY_MEMORY_S));
            memories.put(zone, new Memory(remembered, nextShare(zone, s, m.share(), seconds)));
        });
    }

    private double nextShare(String zone, State state, double share, double seconds) {
        double load = state.load().orElse(0);
        double least = states.entrySet().stream()
                .filter(e -> !e.getKey().equals(zone))
                .flatMapToDouble(e -> e.getValue().load().stream())
                .min()
                .orElse(1);
        if (load > OVERLOAD && least < load - MIN_DIFFERENCE) {
            return Math.min(MAX_SHARE, share + RISE_PER_SECOND * seconds);
        }
        return load < LOW_LOAD || least >= load ? Math.max(0, share - FALL_PER_SECOND * seconds) : share;
    }

    /** Returns the share of a zone's callers that is directed to other zones. */
    double share(String zone) {
        State state = states.get(zone);
        Memory memory = memories.get(zone);
        if (state == null || memory == null || states.size() == 1) {
            return 0;
        }
        double loss = 1 - state.capacity() / memory.capacity();
        return Math.max(memory.share(), loss < MIN_LOSS ? 0 : Math.min(MAX_LOSS_SHARE, loss));
    }

    double maxShare() {
        return states.keySet().stream().mapToDouble(this::share).max().orElse(0);
    }

    /** Returns the shares of a zone's callers that each zone gets. */
    Map<String, Double> shares(String zone) {
        double passed = share(zone);
        Map<String, Double> room = new LinkedHashMap<>();
        if (passed > 0) {
            states.forEach((z, s) -> {
                // A zone whose load is unknown counts as neither idle nor overloaded.
                double free = OVERLOAD - s.load().orElse(LOW_LOAD);
                if (!z.equals(zone) && free > 0) {
                    room.put(z, free * s.capacity());
                }
            });
        }
        double sum = room.values().stream().mapToDouble(Double::doubleValue).sum();
        room.replaceAll((z, r) -> passed * r / sum);
        room.put(zone, room.isEmpty() ? 1 : 1 - passed);
        return room;
    }
}
