package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;

/**
 * Selects the instances that an address answer names, in proportion to their capacities and by their reported loads. A
 * caller picks one of the named instances at random for each new connection, and an instance is named at most once, so
 * a small instance is named in only a part of the answers.
 *
 * <p>Designed for 78 instances of 0.27 to 1.5 cores and 7 to 140 Mbit/s in 4 zones. Their callers' load varies by half,
 * out of phase, and a small instance that is named as often as a large one gets several times its share of the load.
 *
 * <p>Not thread-safe.
 */
public final class AddressSelection {
    /** Maximum number of addresses that a caller uses. */
    public static final int MAX_NAMED = 64;

    /** With a single instance in its zone, a caller would have no address left after the loss of that instance. */
    private static final int MIN_IN_ZONE = 2;

    /** A caller whose first address fails has others left, even if one instance has most of a zone's capacity. */
    private static final int MIN_NAMED = 4;

    /** Capacities closer than this count as equal, because declared figures are rounded. */
    private static final double EQUAL_RATIO = 1.05;

    /**
     * Relaying fills the links of a typical machine only to a fraction. A link limits the capacity of an instance only
     * if its bandwidth per core is less than the median's divided by this factor.
     */
    private static final double LINK_HEADROOM = 4;

    private static final double BUSY_LOAD = 0.85;
    private static final double NOT_BUSY_LOAD = 0.7;

    /** Omitting more of a zone would overload the remaining instances before their figures show it. */
    private static final double MAX_OMITTED_SHARE = 0.5;

    /** All callers learn of a new instance at about the same time, and its code is not compiled yet. */
    private static final double INITIAL_SHARE = 0.25;

    private static final long RAMP_MS = 6_000;

    private final Clock clock;
    private final Random random;
    private final Function<String, OptionalDouble> loads;
    private final ZoneOverflow overflow;
    private final Map<String, Long> firstSeenMs = new HashMap<>();
    private final Set<String> busy = new HashSet<>();
    private boolean started;

    /**
     * A registered instance that accepts requests.
     *
     * @param processing processing capacity in standard cores, 0 if unknown
     * @param linkMbps bandwidth of its link, 0 if unknown
     */
    public record Instance(String name, String zone, double processing, double linkMbps) {}

    private record Weighted(Instance instance, double weight) {}

    /**
     * Creates a selection.
     *
     * @param loads returns the recent load of an instance as a share of its capacity; empty if unknown
     */
    public AddressSelection(Clock clock, Random random, Function<String, OptionalDouble> loads) {
        this.clock = clock;
        this.random = random;
        this.loads = loads;
        this.overflow = new ZoneOverflow(clock);
    }

    /** Returns whether the fleet is large and its instances have declared different capacities. */
    public static boolean applies(Collection<Instance> instances) {
        if (!CheckedInstances.isLargeFleet(instances.size() - 1)) {
            return false;
        }
        Collection<Double> known = capacities(instances).values();
        return Collections.max(known) > EQUAL_RATIO * Collections.min(known);
    }

    /** Returns the capacity of each instance in standard cores; one that is unknown counts as the mean. */
    static Map<String, Double> capacities(Collection<Instance> instances) {
        double[] cores = instances.stream()
                .mapToDouble(Instance::processing)
                .filter(AddressSelection::isKnown)
                .sorted()
                .toArray();
        double[] links = instances.stream()
                .mapToDouble(Instance::linkMbps)
                .filter(AddressSelection::isKnown)
                .sorted()
                .toArray();
        Map<String, Double> capacities = new HashMap<>();
        double sum = 0;
        for (Instance i : instances) {
            if (isKnown(i.processing())) {
                double byLink = isKnown(i.linkMbps())
                        ? LINK_HEADROOM * i.linkMbps() * median(cores) / median(links)
                        : Double.MAX_VALUE;
                double capacity = Math.min(i.processing(), byLink);
                capacities.put(i.name(), capacity);
                sum += capacity;
            }
        }
        double mean = capacities.isEmpty() ? 1 : sum / capacities.size();
        instances.forEach(i -> capacities.putIfAbsent(i.name(), mean));
        return capacities;
    }

    private static boolean isKnown(double capacity) {
        return capacity > 0 && Double.isFinite(capacity);
    }

    private static double median(double[] sorted) {
        return sorted[sorted.length / 2];
    }

    /** Returns the share of a zone's new connections that goes to other zones. */
    public double overflowShare(String zone) {
        return overflow.share(zone);
    }

    /** Returns the largest share of a zone's new connections that goes to other zones. */
    public double maxOverflowShare() {
        return overflow.maxShare();
    }

    /** Returns the number of instances that are omitted from most answers because they are busy. */
    public int busyInstances() {
        return busy.size();
    }

    /**
     * Returns the names for one answer, each at most once.
     *
     * @param zone the caller's availability zone
     * @param instances instances that accept requests
     */
    public List<String> select(String zone, List<Instance> instances) {
        Map<String, Double> capacities = capacities(instances);
        Map<String, List<Weighted>> byZone = new LinkedHashMap<>();
        updateArrivals(capacities.keySet());
        updateBusy(capacities.keySet());
        for (Instance i : instances) {
            byZone.computeIfAbsent(i.zone(), z -> new ArrayList<>())
                    .add(new Weighted(i, capacities.getOrDefault(i.name(), 1.0)));
        }
        overflow.update(zoneStates(byZone));
        List<Weighted> own = byZone.getOrDefault(zone, List.of());
        List<Weighted> candidates = new ArrayList<>();
        if (own.size() < MIN_IN_ZONE) {
            byZone.values().forEach(z -> candidates.addAll(withoutBusy(z)));
        } else {
            overflow.shares(zone).forEach((z, share) -> {
                List<Weighted> named = withoutBusy(byZone.getOrDefault(z, List.of()));
                double sum = sum(named);
                named.forEach(w -> candidates.add(new Weighted(w.instance(), w.weight() / sum * share)));
            });
        }
        return sample(candidates).stream().map(Instance::name).toList();
    }

    private void updateArrivals(Set<String> names) {
        long now = clock.millis();
        firstSeenMs.keySet().retainAll(names);
        // The instances of the first list have been running before.
        names.forEach(n -> firstSeenMs.putIfAbsent(n, started ? now : now - RAMP_MS));
        started |= names.size() > 1;
    }

    private double ramp(String name) {
        long age = clock.millis() - firstSeenMs.getOrDefault(name, 0L);
        return Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * age / RAMP_MS);
    }

    private void updateBusy(Set<String> names) {
        busy.retainAll(names);
        for (String n : names) {
            double load = loads.apply(n).orElse(0);
            if (load >= BUSY_LOAD) {
                busy.add(n);
            } else if (load < NOT_BUSY_LOAD) {
                busy.remove(n);
            }
        }
    }

    private Map<String, ZoneOverflow.State> zoneStates(Map<String, List<Weighted>> byZone) {
        Map<String, ZoneOverflow.State> states = new LinkedHashMap<>();
        byZone.forEach((zone, members) -> {
            double known = 0;
            double used = 0;
            for (Weighted w : members) {
                OptionalDouble load = loads.apply(w.instance().name());
                known += load.isPresent() ? w.weight() : 0;
                used += load.orElse(0) * w.weight();
            }
            states.put(
                    zone,
                    new ZoneOverflow.State(
                            sum(members), known > 0 ? OptionalDouble.of(used / known) : OptionalDouble.empty()));
        });
        return states;
    }

    /** Omits the busiest instances of a zone, but none if all are busy, and reduces the weights of new ones. */
    private List<Weighted> withoutBusy(List<Weighted> zone) {
        List<Weighted> sorted = new ArrayList<>(zone);
        sorted.sort(Comparator.comparingDouble(
                (Weighted w) -> -loads.apply(w.instance().name()).orElse(0)));
        boolean allBusy =
                sorted.stream().allMatch(w -> busy.contains(w.instance().name()));
        double omissible = allBusy ? 0 : MAX_OMITTED_SHARE * sum(sorted);
        List<Weighted> named = new ArrayList<>();
        int left = sorted.size();
        for (Weighted w : sorted) {
            boolean omitted = left > MIN_IN_ZONE
                    && w.weight() <= omissible
                    && busy.contains(w.instance().name());
            if (omitted) {
                omissible -= w.weight();
                left--;
            } else {
                named.add(new Weighted(
                        w.instance(), w.weight() * ramp(w.instance().name())));
            }
        }
        return named;
    }

    private static double sum(Collection<Weighted> members) {
        return members.stream().mapToDouble(Weighted::weight).sum();
    }

    /**
     * Draws a sample of fixed size in which each instance occurs with a probability that is proportional to its weight,
     * so that a caller that picks one of the sample at random picks each instance in proportion to its weight.
     */
    private List<Instance> sample(List<Weighted> candidates) {
        List<Weighted> order = new ArrayList<>(candidates);
        Collections.shuffle(order, random);
        double max = order.stream().mapToDouble(Weighted::weight).max().orElse(1);
        int proportional = (int) Math.floor(sum(order) / max + 1e-9);
        int size = Math.min(order.size(), Math.min(MAX_NAMED, Math.max(MIN_NAMED, proportional)));
        double scale = scale(order, size);
        List<Instance> sample = new ArrayList<>();
        double position = random.nextDouble();
        for (Weighted w : order) {
            position += Math.min(1, scale * w.weight());
            if (position >= 1 && sample.size() < size) {
                sample.add(w.instance());
                position -= 1;
            }
        }
        // Rounding may leave the last interval short of one.
        order.stream()
                .map(Weighted::instance)
                .filter(i -> !sample.contains(i))
                .limit(size - sample.size())
                .forEach(sample::add);
        return sample;
    }

    /** Returns the factor with which the weights, each limited to one, add up to the given size. */
    private static double scale(List<Weighted> order, int size) {
        List<Weighted> descending = new ArrayList<>(order);
        descending.sort(Comparator.comparingDouble(w -> -w.weight()));
        double rest = sum(descending);
        int certain = 0;
        while (certain < size - 1 && descending.get(certain).weight() * (size - certain) > rest) {
            rest -= descending.get(certain).weight();
            certain++;
        }
        return (size - certain) / rest;
    }
}
