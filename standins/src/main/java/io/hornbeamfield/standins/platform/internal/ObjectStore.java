package io.hornbeamfield.standins.platform.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Objects with versions and conditional updates. Versions come from one counter for all objects, so that an object that
 * is deleted and created again never repeats a version.
 */
public final class ObjectStore {
    /** A stale read shows the state before the last change only if that change is younger than this. */
    private static final Duration STALE_LIMIT = Duration.ofSeconds(5);

    private record Previous(@Nullable StoredObject object, Instant replacedAt) {}

    private final Clock clock;
    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final Map<String, Previous> previous = new HashMap<>();
    private final Map<String, List<Watcher>> watchers = new HashMap<>();
    private long lastVersion;

    public ObjectStore(Clock clock) {
        this.clock = clock;
    }

    /** A waiting watch. */
    public static final class Watcher {
        private final String key;
        private final long after;
        private final Consumer<StoredObject> action;

        private Watcher(String key, long after, Consumer<StoredObject> action) {
            this.key = key;
            this.after = after;
            this.action = action;
        }
    }

    /** Returns an object. */
    public synchronized Optional<StoredObject> read(String key) {
        return Optional.ofNullable(objects.get(key));
    }

    /** Returns an object as it was before its last change, if that was a short time ago. */
    public synchronized Optional<StoredObject> readStale(String key) {
        Previous p = previous.get(key);
        if (p != null && p.replacedAt().plus(STALE_LIMIT).isAfter(clock.instant())) {
            return Optional.ofNullable(p.object());
        }
        return read(key);
    }

    /** Returns objects in key order, one more than the limit if there are more. */
    public synchronized List<StoredObject> list(String prefix, String after, int limit) {
        List<StoredObject> page = new ArrayList<>();
        boolean insidePrefix = after.compareTo(prefix) >= 0;
        var tail = insidePrefix ? objects.tailMap(after, false) : objects.tailMap(prefix, true);
        for (StoredObject o : tail.values()) {
            if (!o.key().startsWith(prefix) || page.size() > limit) {
                break;
            }
            page.add(o);
        }
        return page;
    }

    /**
     * Writes a value, or deletes the object if the value is null, if the version matches. Returns the object that is in
     * the way, or empty if the update was applied; the new version is passed to {@code onApplied}.
     */
    public Optional<StoredObject> update(
            String key, long expectedVersion, @Nullable JsonNode value, LongConsumer onApplied) {
        List<Runnable> notifications = new ArrayList<>();
        long version;
        synchronized (this) {
            StoredObject current = objects.get(key);
            long currentVersion = current == null ? 0 : current.version();
            if (currentVersion != expectedVersion) {
                return Optional.of(current == null ? absent(key) : current);
            }
            version = ++lastVersion;
            previous.put(key, new Previous(current, clock.instant()));
            if (value == null) {
                objects.remove(key);
            } else {
                StoredObject next = new StoredObject(key, version, value);
                objects.put(key, next);
                takeWatchers(next).forEach(w -> notifications.add(() -> w.action.accept(next)));
            }
        }
        onApplied.accept(version);
        notifications.forEach(Runnable::run);
        return Optional.empty();
    }

    private static StoredObject absent(String key) {
        return new StoredObject(key, 0, NullNode.getInstance());
    }

    private List<Watcher> takeWatchers(StoredObject next) {
        List<Watcher> waiting = watchers.get(next.key());
        if (waiting == null) {
            return List.of();
        }
        List<Watcher> due =
                waiting.stream().filter(w -> next.version() > w.after).toList();
        waiting.removeAll(due);
        return due;
    }

    /** Returns a newer object at once, or registers an action for the next newer version. */
    public synchronized Optional<StoredObject> readOrWatch(
            String key, long after, Consumer<StoredObject> action, Consumer<Watcher> onRegistered) {
        StoredObject current = objects.get(key);
        if (current != null && current.version() > after) {
            return Optional.of(current);
        }
        Watcher watcher = new Watcher(key, after, action);
        watchers.computeIfAbsent(key, k -> new ArrayList<>()).add(watcher);
        onRegistered.accept(watcher);
        return Optional.empty();
    }

    /** Ends a watch; returns false if its action has been run or is about to run. */
    public synchronized boolean unwatch(Watcher watcher) {
        List<Watcher> waiting = watchers.get(watcher.key);
        return waiting != null && waiting.remove(watcher);
    }
}
