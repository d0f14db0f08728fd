package io.hornbeamfield.core.quarantine;

import java.time.Clock;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * When this instance last served and last refused a request with each part of a prompt. Bounded; the part that was used
 * least recently is forgotten first. Thread-safe.
 *
 * <pre>{@code
 * activity.recordServed(List.of("5c1e07a2", "91bd3f06"));
 * boolean sound = activity.servedSince("5c1e07a2", crashMs);
 * }</pre>
 */
public final class PartActivity {
    private static final int MAX_PARTS = 4_096;

    private final Clock clock;
    private final Times served = new Times();
    private final Times refused = new Times();

    public PartActivity(Clock clock) {
        this.clock = clock;
    }

    /** Records that a server answered a request with these parts and outlived the start of the answer. */
    public synchronized void recordServed(Collection<String> parts) {
        long now = clock.millis();
        parts.forEach(p -> served.put(p, now));
    }

    /** Records that a request with these parts was refused because of them. */
    public synchronized void recordRefused(Collection<String> parts) {
        long now = clock.millis();
        parts.forEach(p -> refused.put(p, now));
    }

    /** Returns whether a request with this part has been served at a time or later. */
    public synchronized boolean servedSince(String part, long sinceMs) {
        Long at = served.get(part);
        return at != null && at >= sinceMs;
    }

    /** Returns whether this instance remembers that a request with this part was served. */
    public synchronized boolean everServed(String part) {
        return served.get(part) != null;
    }

    /** Returns whether a request with this part has been refused at a time or later. */
    public synchronized boolean refusedSince(String part, long sinceMs) {
        Long at = refused.get(part);
        return at != null && at >= sinceMs;
    }

    private static final class Times {
        private final Map<String, Long> times = new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MAX_PARTS;
            }
        };

        void put(String part, long ms) {
            times.put(part, ms);
        }

        @Nullable
        Long get(String part) {
            return times.get(part);
        }
    }
}
