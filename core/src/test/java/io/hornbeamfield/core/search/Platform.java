package io.hornbeamfield.core.search;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulated object store with conditional updates. Keeps every version of a value to serve stale reads. */
final class Platform {
    record Versioned(long version, Object value) {}

    private final Map<String, List<Versioned>> history = new HashMap<>();

    /** Returns the value {@code behind} versions before the current one, or the oldest value. */
    Versioned get(String key, int behind) {
        List<Versioned> versions = history.get(key);
        return versions.get(Math.max(0, versions.size() - 1 - behind));
    }

    boolean exists(String key) {
        return history.containsKey(key);
    }

    boolean put(String key, long ifVersion, Object value) {
        List<Versioned> versions = history.computeIfAbsent(key, k -> new ArrayList<>());
        if (versions.size() != ifVersion) {
            return false;
        }
        versions.add(new Versioned(ifVersion + 1, value));
        return true;
    }
}
