package io.hornbeamfield.standins.engine.internal;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/** Log of cache events that shows each event late and leaves some out. */
final class CacheEvents {
    private static final int MAX_KEPT = 10_000;

    /** An event as the API shows it. */
    record Event(long seq, String kind, String prefixHash) {}

    /** A page of events; {@code next} is the value for the next {@code after}. */
    record Page(List<Event> events, long next) {}

    private record Dated(Event event, Instant at, boolean dropped) {}

    private final Clock clock;
    private final Duration lag;
    private final double gaps;
    private final Random random;
    private final Deque<Dated> kept = new ArrayDeque<>();
    private long lastSeq;

    CacheEvents(Clock clock, Duration lag, double gaps, long seed) {
        this.clock = clock;
        this.lag = lag;
        this.gaps = gaps;
        this.random = new Random(seed);
    }

    synchronized void add(String kind, String prefixHash) {
        boolean dropped = random.nextDouble() < gaps;
        kept.add(new Dated(new Event(++lastSeq, kind, prefixHash), clock.instant(), dropped));
        if (kept.size() > MAX_KEPT) {
            kept.removeFirst();
        }
    }

    synchronized Page after(long seq) {
        Instant shownUntil = clock.instant().minus(lag);
        List<Event> page = new ArrayList<>();
        long next = seq;
        for (Dated d : kept) {
            if (d.at().isAfter(shownUntil)) {
                break;
            }
            if (d.event().seq() > seq) {
                next = d.event().seq();
                if (!d.dropped()) {
                    page.add(d.event());
                }
            }
        }
        return new Page(page, next);
    }
}
