package io.hornbeamfield.core.quarantine;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Crashes of backend servers that this instance has seen or that others have reported. Bounded. Not thread-safe.
 *
 * <pre>{@code
 * journal.serverCrashed("model", "i-7/1700000000", parts);
 * journal.othersReported(evidenceOfOthers);
 * Quarantine quarantine = journal.assess();
 * }</pre>
 */
public final class CrashJournal {
    /** Evidence is kept for this long after the crash, and after the last refusal because of it. */
    public static final long RETENTION_MS = 3_600_000;

    /**
     * An answer that had begun this long before a crash exonerates the part as well: a part that is in many requests is
     * served by every instance within this time.
     */
    private static final long SERVED_BEFORE_MS = 10_000;

    /** A single crash is weak evidence; exonerations need not be told to the others before the second one. */
    private static final int MIN_CRASHES_TO_EXONERATE = 2;

    // With these limits the evidence of one instance stays below 600 KB, and an object of the store below its limit.
    private static final int MAX_CRASHES = 32;
    private static final int MAX_REQUESTS_PER_CRASH = 32;
    private static final int MAX_PARTS_PER_REQUEST = 8;
    private static final int MAX_PART_LENGTH = 64;
    private static final int MAX_KNOWN_CRASHES = 1_024;

    private final Clock clock;
    private final PartActivity activity;
    private final Map<String, CrashReport> ownCrashes = new LinkedHashMap<>();
    private final Map<String, Set<String>> ownExonerations = new HashMap<>();
    private final Map<String, Long> learnedMs = new LinkedHashMap<>();
    private List<CrashEvidence> others = List.of();

    public CrashJournal(Clock clock, PartActivity activity) {
        this.clock = clock;
        this.activity = activity;
    }

    /** Records a request whose answer had not begun when its server crashed. */
    public void serverCrashed(String service, String server, Collection<String> parts) {
        long servedSinceMs = clock.millis() - SERVED_BEFORE_MS;
        Set<String> suspects = parts.stream()
                .filter(p -> p.length() <= MAX_PART_LENGTH && !activity.servedSince(p, servedSinceMs))
                .limit(MAX_PARTS_PER_REQUEST)
                .collect(Collectors.toSet());
        if (suspects.isEmpty()) {
            return;
        }
        List<Set<String>> requests = new ArrayList<>();
        CrashReport known = ownCrashes.get(server);
        if (known != null) {
            requests.addAll(known.requests());
        }
        if (requests.size() < MAX_REQUESTS_PER_CRASH) {
            requests.add(suspects);
        }
        ownCrashes.put(server, new CrashReport(service, server, requests));
        removeOldest(ownCrashes, MAX_CRASHES);
        learned(server);
    }

    /** Continues with the evidence of an earlier incarnation of this instance. */
    public void restore(CrashEvidence earlier) {
        for (CrashReport r : earlier.crashes()) {
            r.requests().forEach(parts -> serverCrashed(r.service(), r.server(), parts));
        }
        earlier.exonerated()
                .forEach((part, servers) -> ownExonerations
                        .computeIfAbsent(part, p -> new HashSet<>())
                        .addAll(servers));
    }

    /** Replaces what the other instances have reported. */
    public void othersReported(Collection<CrashEvidence> evidence) {
        others = List.copyOf(evidence);
        others.forEach(e -> e.crashes().forEach(r -> learned(r.server())));
    }

    /** Forgets what this instance has seen. */
    public void forgetOwn() {
        ownCrashes.clear();
        ownExonerations.clear();
    }

    private void learned(String server) {
        learnedMs.putIfAbsent(server, clock.millis());
        removeOldest(learnedMs, MAX_KNOWN_CRASHES);
    }

    private static <V> void removeOldest(Map<String, V> map, int limit) {
        while (map.size() > limit) {
            map.remove(map.keySet().iterator().next());
        }
    }

    /** Returns the number of crashes that this instance has learnt of, at most as many as it remembers. */
    public int knownCrashes() {
        return learnedMs.size();
    }

    /** Exonerates the parts that have been served, drops old evidence and judges the rest. */
    public Quarantine assess() {
        ownCrashes.values().removeIf(this::isExpired);
        List<CrashEvidence> current = new ArrayList<>();
        others.forEach(e -> current.add(withoutExpired(e)));
        current.add(new CrashEvidence(List.copyOf(ownCrashes.values()), ownExonerations));
        exonerateServedParts(current);
        current.set(current.size() - 1, new CrashEvidence(List.copyOf(ownCrashes.values()), ownExonerations));
        return Quarantine.of(current, activity::everServed);
    }

    private void exonerateServedParts(List<CrashEvidence> evidence) {
        Set<String> crashes = new HashSet<>();
        for (CrashEvidence e : evidence) {
            for (CrashReport r : e.crashes()) {
                crashes.add(r.server());
                long sinceMs = learnedMs.getOrDefault(r.server(), clock.millis()) - SERVED_BEFORE_MS;
                r.requests().stream()
                        .flatMap(Set::stream)
                        .filter(p -> activity.servedSince(p, sinceMs))
                        .forEach(p -> ownExonerations
                                .computeIfAbsent(p, x -> new HashSet<>())
                                .add(r.server()));
            }
        }
        ownExonerations.values().forEach(servers -> servers.retainAll(crashes));
        ownExonerations.values().removeIf(Set::isEmpty);
    }

    private CrashEvidence withoutExpired(CrashEvidence e) {
        return e.crashes().stream().noneMatch(this::isExpired)
                ? e
                : new CrashEvidence(
                        e.crashes().stream().filter(r -> !isExpired(r)).toList(), e.exonerated());
    }

    private boolean isExpired(CrashReport r) {
        long since = clock.millis() - RETENTION_MS;
        return learnedMs.getOrDefault(r.server(), Long.MIN_VALUE) < since
                && r.requests().stream().flatMap(Set::stream).noneMatch(p -> activity.refusedSince(p, since));
    }

    /** Returns whether all crashes that this evidence reports or exonerates parts from are too old to count. */
    public boolean isExpired(CrashEvidence e) {
        long since = clock.millis() - RETENTION_MS;
        return e.crashes().stream().allMatch(this::isExpired)
                && e.exonerated().values().stream()
                        .flatMap(Set::stream)
                        .allMatch(server -> learnedMs.getOrDefault(server, Long.MIN_VALUE) < since);
    }

    /** Returns what the other instances should know. */
    public CrashEvidence own() {
        Map<String, Set<String>> worthTelling = ownExonerations.entrySet().stream()
                .filter(e -> e.getValue().size() >= MIN_CRASHES_TO_EXONERATE)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return new CrashEvidence(List.copyOf(ownCrashes.values()), worthTelling);
    }
}
