package io.hornbeamfield.core.stream;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The versions of each service whose servers may begin streams, as the store keeps them for all instances.
 *
 * @param versions versions by service
 */
public record VersionRecord(Map<String, Set<String>> versions) {
    public VersionRecord {
        Map<String, Set<String>> sorted = new TreeMap<>();
        versions.forEach((service, v) -> sorted.put(service, new TreeSet<>(v)));
        versions = sorted;
    }

    /** Returns a record without versions. */
    public static VersionRecord empty() {
        return new VersionRecord(Map.of());
    }

    /** Returns the versions of a service. */
    public Set<String> of(String service) {
        return versions.getOrDefault(service, Set.of());
    }

    /** Returns whether the servers of a version may begin streams. */
    public boolean contains(ServiceVersion v) {
        return of(v.service()).contains(v.version());
    }

    /** Returns a copy without some versions and with others. */
    VersionRecord changed(Collection<ServiceVersion> removed, Collection<ServiceVersion> added) {
        Map<String, Set<String>> next = new TreeMap<>();
        versions.forEach((service, v) -> next.put(service, new TreeSet<>(v)));
        removed.forEach(v -> next.getOrDefault(v.service(), new TreeSet<>()).remove(v.version()));
        added.forEach(
                v -> next.computeIfAbsent(v.service(), s -> new TreeSet<>()).add(v.version()));
        next.values().removeIf(Set::isEmpty);
        return new VersionRecord(next);
    }
}
