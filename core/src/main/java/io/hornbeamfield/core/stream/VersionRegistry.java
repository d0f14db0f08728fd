package io.hornbeamfield.core.stream;

import java.time.Clock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Decides which versions this instance may begin streams with, and what it writes to the record that all instances
 * share. A version is used only after it has been seen in the record, so that whoever reads the record later knows all
 * versions that may have begun a stream. Not thread-safe.
 *
 * <p>Answers the load of a release in a fleet of 300 instances: one write and one read by each of the others for each
 * new version.
 *
 * <pre>{@code
 * registry.registered(versions);
 * if (!registry.unrecorded().isEmpty()) {
 *     write(registry.completed(read()));
 * }
 * }</pre>
 */
public final class VersionRegistry {
    /** Longer than any stream with its take-ups lasts after its version's last registration has been removed. */
    static final long REMOVAL_MS = 300_000;

    /** A version that returns after this time may have been removed from the record by another instance. */
    static final long RECONFIRMATION_MS = 60_000;

    private final Clock clock;
    private Set<ServiceVersion> registered = Set.of();
    private final Set<ServiceVersion> recorded = new HashSet<>();

    /** Versions that are in the record without a registration, each with the time since when. */
    private final Map<ServiceVersion, Long> absentSinceMs = new HashMap<>();

    /** Versions that may have begun streams before the store came back from a copy that may lack them. */
    private final Set<ServiceVersion> beforeRestore = new HashSet<>();

    public VersionRegistry(Clock clock) {
        this.clock = clock;
    }

    /** Sets the versions that the present registrations name. */
    public void registered(Set<ServiceVersion> versions) {
        long now = clock.millis();
        registered.stream().filter(v -> !versions.contains(v)).forEach(v -> absentSinceMs.putIfAbsent(v, now));
        for (ServiceVersion v : versions) {
            Long since = absentSinceMs.remove(v);
            if (since != null && now - since >= RECONFIRMATION_MS) {
                recorded.remove(v);
            }
        }
        registered = Set.copyOf(versions);
    }

    /** Records that the store cannot be reached, so that registrations may appear unseen. */
    public void storeLost() {
        absentSinceMs.replaceAll((v, since) -> clock.millis());
        recorded.retainAll(registered);
    }

    /** Records that the store came back from an older copy, so that the record may lack versions. */
    public void storeRestored() {
        beforeRestore.addAll(recorded);
        beforeRestore.addAll(absentSinceMs.keySet());
    }

    /** Returns a record with the versions that it may have lost. */
    public VersionRecord withLost(VersionRecord current) {
        return current.changed(Set.of(), lost());
    }

    private Set<ServiceVersion> lost() {
        long now = clock.millis();
        beforeRestore.removeIf(v -> now - absentSinceMs.getOrDefault(v, now) >= REMOVAL_MS);
        return beforeRestore;
    }

    /** Returns the registered versions with which no stream may begin yet. */
    public Set<ServiceVersion> unrecorded() {
        return registered.stream().filter(v -> !recorded.contains(v)).collect(Collectors.toSet());
    }

    /** Returns whether several versions of a service may have begun streams. */
    public boolean hasSeveralVersions(String service) {
        Set<ServiceVersion> all = new HashSet<>(recorded);
        all.addAll(registered);
        return all.stream().filter(v -> v.service().equals(service)).count() > 1;
    }

    /** Returns whether several versions of any service may have begun streams. */
    public boolean hasSeveralVersions() {
        return Stream.concat(recorded.stream(), registered.stream())
                .map(ServiceVersion::service)
                .distinct()
                .anyMatch(this::hasSeveralVersions);
    }

    /** Returns the versions with which streams may begin. */
    public Set<ServiceVersion> recorded() {
        return Set.copyOf(recorded);
    }

    /** Returns the record to write in place of the given one. */
    public VersionRecord completed(VersionRecord current) {
        return withLost(current).changed(expired(current), registered);
    }

    /** Takes over a record as the store has it now. */
    public void confirmed(VersionRecord current) {
        long now = clock.millis();
        recorded.clear();
        current.versions()
                .forEach((service, versions) -> versions.forEach(v -> recorded.add(new ServiceVersion(service, v))));
        absentSinceMs.keySet().retainAll(recorded);
        recorded.stream().filter(v -> !registered.contains(v)).forEach(v -> absentSinceMs.putIfAbsent(v, now));
    }

    /** Returns whether a version may be removed from the record. */
    public boolean removalDue() {
        long now = clock.millis();
        return absentSinceMs.values().stream().anyMatch(since -> now - since >= REMOVAL_MS);
    }

    private Set<ServiceVersion> expired(VersionRecord current) {
        long now = clock.millis();
        return absentSinceMs.entrySet().stream()
                .filter(e -> now - e.getValue() >= REMOVAL_MS && current.contains(e.getKey()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }
}
