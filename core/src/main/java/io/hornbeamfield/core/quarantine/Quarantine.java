package io.hornbeamfield.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Parts of prompts that are held responsible for crashes of backend servers. Immutable.
 *
 * <p>A part is held responsible if servers crashed several times under a request that contains it and no request with
 * it has been served since. Every request at a crashed server is a suspect, so a crash that one part explains counts
 * against no other. Parts that came only together in such requests are held responsible only together: a request that
 * contains one of them alone is served, and its answer shows that this part is sound.
 *
 * <pre>{@code
 * Quarantine quarantine = Quarantine.of(evidence, activity::everServed);
 * if (quarantine.culpritIn("model", parts).isPresent()) { ... }
 * }</pre>
 */
public final class Quarantine {
    /** Crashes with which a part that this instance has not seen served is held responsible. */
    private static final int MIN_CRASHES = 3;

    /** The same for a part that was served before; such parts are in many requests and so at many crashes by chance. */
    private static final int MIN_CRASHES_OF_SERVED_PART = 5;

    private final Map<String, ServiceQuarantine> services;

    /**
     * Parts of prompts that crash servers if a request contains all of them.
     *
     * @param parts the parts
     * @param servers the servers that crashed
     */
    public record Culprit(Set<String> parts, Set<String> servers) {
        public Culprit {
            parts = Set.copyOf(parts);
            servers = Set.copyOf(servers);
        }
    }

    /** The culprits of one service, and the crashes of other parts that no culprit explains. */
    private record ServiceQuarantine(List<Culprit> culprits, Map<String, Set<String>> unexplained) {}

    private Quarantine(Map<String, ServiceQuarantine> services) {
        this.services = services;
    }

    /** Returns a quarantine without culprits. */
    public static Quarantine none() {
        return new Quarantine(Map.of());
    }

    /**
     * Judges the evidence of all instances.
     *
     * @param servedBefore whether this instance has seen a request with a part served
     */
    public static Quarantine of(Collection<CrashEvidence> evidence, Predicate<String> servedBefore) {
        Map<String, Set<String>> exonerated = new HashMap<>();
        evidence.forEach(e -> e.exonerated()
                .forEach((part, servers) ->
                        exonerated.computeIfAbsent(part, p -> new HashSet<>()).addAll(servers)));
        Map<String, List<CrashReport>> byService = evidence.stream()
                .flatMap(e -> e.crashes().stream())
                .collect(Collectors.groupingBy(CrashReport::service));
        Map<String, ServiceQuarantine> services = new TreeMap<>();
        byService.forEach((service, reports) -> services.put(service, judge(reports, exonerated, servedBefore)));
        return new Quarantine(services);
    }

    private static ServiceQuarantine judge(
            List<CrashReport> reports, Map<String, Set<String>> exonerated, Predicate<String> servedBefore) {
        Map<String, Set<String>> crashesByPart = crashesByPart(reports, exonerated);
        List<Culprit> culprits = new ArrayList<>();
        Optional<String> worst = worst(crashesByPart, servedBefore);
        while (worst.isPresent()) {
            Culprit culprit = culprit(worst.get(), crashesByPart, reports);
            culprits.add(culprit);
            crashesByPart.values().forEach(servers -> servers.removeAll(culprit.servers()));
            crashesByPart.values().removeIf(Set::isEmpty);
            worst = worst(crashesByPart, servedBefore);
        }
        return new ServiceQuarantine(List.copyOf(culprits), crashesByPart);
    }

    private static Map<String, Set<String>> crashesByPart(
            List<CrashReport> reports, Map<String, Set<String>> exonerated) {
        Map<String, Set<String>> crashes = new TreeMap<>();
        for (CrashReport r : reports) {
            for (Set<String> request : r.requests()) {
                for (String part : request) {
                    if (!exonerated.getOrDefault(part, Set.of()).contains(r.server())) {
                        crashes.computeIfAbsent(part, p -> new TreeSet<>()).add(r.server());
                    }
                }
            }
        }
        return crashes;
    }

    private static Optional<String> worst(Map<String, Set<String>> crashesByPart, Predicate<String> servedBefore) {
        return crashesByPart.entrySet().stream()
                .filter(e -> e.getValue().size()
                        >= (servedBefore.test(e.getKey()) ? MIN_CRASHES_OF_SERVED_PART : MIN_CRASHES))
                .max(Comparator.comparing((Map.Entry<String, Set<String>> e) -> !servedBefore.test(e.getKey()))
                        .thenComparing(e -> e.getValue().size()))
                .map(Map.Entry::getKey);
    }

    /** Returns the part with those that were in every suspected request with it and at least at the same crashes. */
    private static Culprit culprit(String worst, Map<String, Set<String>> crashesByPart, List<CrashReport> reports) {
        Set<String> servers = crashesByPart.getOrDefault(worst, Set.of());
        Set<String> together = new HashSet<>();
        for (CrashReport r : reports) {
            for (Set<String> request : r.requests()) {
                if (servers.contains(r.server()) && request.contains(worst)) {
                    if (together.isEmpty()) {
                        together.addAll(request);
                    } else {
                        together.retainAll(request);
                    }
                }
            }
        }
        together.removeIf(p -> !crashesByPart.getOrDefault(p, Set.of()).containsAll(servers));
        return new Culprit(together, servers);
    }

    /** Returns the culprit that a request to a service contains, if there is one. */
    public Optional<Culprit> culpritIn(String service, Collection<String> parts) {
        ServiceQuarantine s = services.get(service);
        return s == null
                ? Optional.empty()
                : s.culprits().stream()
                        .filter(c -> parts.containsAll(c.parts()))
                        .findFirst();
    }

    /**
     * Returns whether servers other than the given one crashed under requests with one of these parts, and no culprit
     * explains it.
     */
    public boolean isSuspect(String service, Collection<String> parts, String exceptServer) {
        ServiceQuarantine s = services.get(service);
        return s != null
                && parts.stream()
                        .flatMap(p -> s.unexplained().getOrDefault(p, Set.of()).stream())
                        .anyMatch(server -> !server.equals(exceptServer));
    }

    /** Returns the largest number of unexplained crashes of one part, which needs close attention from two on. */
    public int mostUnexplainedCrashes() {
        return services.values().stream()
                .flatMap(s -> s.unexplained().values().stream())
                .mapToInt(Set::size)
                .max()
                .orElse(0);
    }

    /** Returns the culprits by service. */
    public Map<String, List<Culprit>> culprits() {
        return services.entrySet().stream()
                .filter(e -> !e.getValue().culprits().isEmpty())
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().culprits()));
    }
}
