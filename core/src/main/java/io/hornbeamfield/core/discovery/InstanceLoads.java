package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.StringJoiner;
import java.util.regex.Pattern;

/**
 * Recent loads of the instances of a fleet, each as a share of the instance's capacity. An instance checks the
 * readiness of 12 others each second; the response carries a report with its own load and those that it has received
 * from the instances that it checks itself. Two steps reach most of 78 instances, and the size of a report does not
 * depend on the size of the fleet. Thread-safe.
 */
public final class InstanceLoads {
    /** Three checks; an older figure says little about an instance whose load varies with periods of 11 to 17 s. */
    static final long MAX_AGE_MS = 3_500;

    /** An older figure would expire before it is used. */
    private static final long MAX_FORWARDED_AGE_MS = 1_500;

    private static final int MAX_REPORT_ENTRIES = 16;
    private static final int MAX_REPORT_LENGTH = 2_048;

    /** A higher load is not busier: the instance cannot use more than its capacity. */
    private static final double MAX_LOAD = 2;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._/:-]{1,64}");

    private final Clock clock;
    private final String self;
    private final Map<String, Figure> figures = new HashMap<>();

    private record Figure(double load, long timeMs, boolean direct) {}

    public InstanceLoads(Clock clock, String self) {
        this.clock = clock;
        this.self = self;
    }

    /** Sets the load of this instance. */
    public synchronized void own(double load) {
        figures.put(self, new Figure(Math.min(MAX_LOAD, load), clock.millis(), false));
    }

    /** Returns the load of this instance; empty if unknown. */
    public OptionalDouble own() {
        return load(self);
    }

    /** Returns the load of an instance; empty if no recent figure is known. */
    public synchronized OptionalDouble load(String name) {
        Figure f = figures.get(name);
        return f == null || ageMs(f) > MAX_AGE_MS ? OptionalDouble.empty() : OptionalDouble.of(f.load());
    }

    /** Returns the mean of the known loads of other instances; empty if there are none. */
    public synchronized OptionalDouble meanOfOthers() {
        return figures.entrySet().stream()
                .filter(e -> !e.getKey().equals(self) && ageMs(e.getValue()) <= MAX_AGE_MS)
                .mapToDouble(e -> e.getValue().load())
                .average();
    }

    /** Returns the number of instances whose load is known. */
    public synchronized int known() {
        return (int)
                figures.values().stream().filter(f -> ageMs(f) <= MAX_AGE_MS).count();
    }

    /** Removes the figures of instances that are not registered. */
    public synchronized void retain(Set<String> names) {
        figures.keySet().removeIf(n -> !n.equals(self) && !names.contains(n));
    }

    /** Returns a report of the form {@code load;name=load@ageMs;...}; empty if the own load is unknown. */
    public synchronized String report() {
        OptionalDouble own = load(self);
        if (own.isEmpty()) {
            return "";
        }
        StringJoiner report = new StringJoiner(";").add(format(own.getAsDouble()));
        figures.entrySet().stream()
                .filter(e -> e.getValue().direct()
                        && ageMs(e.getValue()) <= MAX_FORWARDED_AGE_MS
                        && NAME.matcher(e.getKey()).matches())
                .limit(MAX_REPORT_ENTRIES - 1)
                .forEach(e -> report.add(e.getKey() + "=" + format(e.getValue().load()) + "@" + ageMs(e.getValue())));
        return report.toString();
    }

    private static String format(double load) {
        return String.format(Locale.ROOT, "%.2f", load);
    }

    /**
     * Takes over the report of another instance. Parts that cannot be read are ignored.
     *
     * @param registered names of the registered instances
     */
    public synchronized void received(String from, String report, Set<String> registered) {
        if (report.length() > MAX_REPORT_LENGTH || !registered.contains(from)) {
            return;
        }
        String[] parts = report.split(";", MAX_REPORT_ENTRIES + 1);
        put(from, parse(parts[0]), 0, true);
        for (int i = 1; i < Math.min(parts.length, MAX_REPORT_ENTRIES); i++) {
            int equals = parts[i].indexOf('=');
            int at = parts[i].indexOf('@', equals + 1);
            String name = equals > 0 ? parts[i].substring(0, equals) : "";
            if (at > 0 && registered.contains(name)) {
                double age = parse(parts[i].substring(at + 1));
                put(name, parse(parts[i].substring(equals + 1, at)), age <= MAX_AGE_MS ? (long) age : -1, false);
            }
        }
    }

    private void put(String name, double load, long ageMs, boolean direct) {
        Figure before = figures.get(name);
        boolean valid = load >= 0 && ageMs >= 0 && !name.equals(self);
        if (valid && (before == null || clock.millis() - ageMs >= before.timeMs())) {
            boolean recentlyDirect = before != null && before.direct() && ageMs(before) <= MAX_FORWARDED_AGE_MS;
            figures.put(name, new Figure(Math.min(MAX_LOAD, load), clock.millis() - ageMs, direct || recentlyDirect));
        }
    }

    private static double parse(String number) {
        try {
            double value = Double.parseDouble(number.trim());
            return Double.isFinite(value) ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private long ageMs(Figure figure) {
        return clock.millis() - figure.timeMs();
    }
}
