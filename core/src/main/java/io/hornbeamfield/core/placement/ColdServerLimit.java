package io.hornbeamfield.core.placement;

import io.hornbeamfield.core.route.ColdPhase;
import io.hornbeamfield.core.routing.Rendezvous;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this instance may send a request to a cold server now. Designed for 14 servers that return cold under
 * the full load of 8 to 95 instances, a third of which are partitioned and have an older list of instances. Instances
 * cannot coordinate then, so in a large fleet a few senders for each server are selected by rendezvous hashing, and
 * each sender paces its requests. The senders of one list use less than half of the server's bound, so that those of an
 * older list, which may be others, and the requests of instances that have not seen the restart yet fit into the rest.
 * In a small fleet all instances are senders by any list. Not thread-safe.
 *
 * <pre>{@code
 * if (limit.delayMs(server, phase, instances) == 0) {
 *     long reservedMs = limit.reserve(server);
 *     // open a connection
 *     if (limit.confirm(server, phase, instances, reservedMs)) {
 *         // send
 *     }
 * }
 * }</pre>
 */
public final class ColdServerLimit {
    /** Returned by {@link #delayMs} if this instance sends nothing to the server while it is cold. */
    public static final long NEVER = Long.MAX_VALUE;

    /**
     * Time in which a sender sends its share. It exceeds the second of the bound, since requests may be delayed
     * differently on their way.
     */
    static final long WINDOW_MS = 1_250;

    /** A request may be written this long after its place was reserved although others were reserved since. */
    private static final long MAX_SKEW_MS = 100;

    /** Few enough that each may send several requests in a window, and more than one because senders may fail. */
    private static final int SENDERS = 4;

    /** Share of the bound that the senders of one list use. */
    private static final double LIST_SHARE = 0.4;

    /** Up to this size of the fleet each instance is a sender. */
    private static final int SMALL_FLEET = 13;

    /** Fleets are larger; an older list with fewer instances must not increase the share of an instance. */
    private static final int MIN_FLEET = 6;

    /** Share of the bound that a small fleet uses; instances with a shorter list use up to the rest in addition. */
    private static final double SMALL_FLEET_SHARE = 0.75;

    /** More servers than a fleet has. */
    private static final int MAX_SERVERS = 4_096;

    private final Clock clock;
    private final String instance;
    private final ColdRateLimit rate;
    private final Map<String, Share> shares = new LinkedHashMap<>();

    /** This instance's share of the requests to a server, computed for a list of instances. */
    private static final class Share {
        private @Nullable List<String> instances;
        private @Nullable ColdPhase phase;
        private long intervalMs = NEVER;
        private long lastMs = Long.MIN_VALUE / 2;
    }

    public ColdServerLimit(Clock clock, String instance, ColdRateLimit rate) {
        this.clock = clock;
        this.instance = instance;
        this.rate = rate;
    }

    /**
     * Returns the time until this instance may send a request to a cold server, or {@link #NEVER}.
     *
     * @param instances the known instances including this one, empty if their list is not known
     */
    public long delayMs(String server, ColdPhase phase, Optional<List<String>> instances) {
        if (instances.isEmpty()) {
            return NEVER;
        }
        Share share = share(server);
        List<String> names = instances.get();
        if (share.instances != names || !phase.equals(share.phase)) {
            share.instances = names;
            share.phase = phase;
            share.intervalMs = intervalMs(server, phase, names);
        }
        return share.intervalMs == NEVER ? NEVER : Math.max(0, share.lastMs + share.intervalMs - clock.millis());
    }

    /** Reserves the place of a request and returns its time. Requests to a warm server are recorded, too. */
    public long reserve(String server) {
        long now = clock.millis();
        share(server).lastMs = now;
        return now;
    }

    /**
     * Returns whether a request to a cold server may be written now. One whose connection took long to open moves its
     * place to the present time, or needs a new one if another request has got a place since.
     *
     * @param reservedMs time of its place, 0 if it has none because the server was warm
     */
    public boolean confirm(String server, ColdPhase phase, Optional<List<String>> instances, long reservedMs) {
        long delayMs = delayMs(server, phase, instances);
        if (delayMs == NEVER) {
            return false;
        }
        long now = clock.millis();
        Share share = share(server);
        if (reservedMs > 0 && now - reservedMs <= MAX_SKEW_MS) {
            return true;
        }
        boolean own = reservedMs > 0 && share.lastMs == reservedMs;
        if (own || delayMs == 0) {
            share.lastMs = now;
            return true;
        }
        return false;
    }

    private Share share(String server) {
        Share share = shares.computeIfAbsent(server, s -> new Share());
        if (shares.size() > MAX_SERVERS) {
            shares.remove(shares.keySet().iterator().next());
        }
        return share;
    }

    private long intervalMs(String server, ColdPhase phase, List<String> instances) {
        double bound = rate.requestsPerSecond(phase.requestsPerSecond());
        long each = (long) (bound * SMALL_FLEET_SHARE / Math.max(instances.size(), MIN_FLEET));
        if (instances.size() <= SMALL_FLEET && each > 0) {
            return intervalMs(each);
        }
        long senders = Math.min(SENDERS, (long) (bound * LIST_SHARE));
        return senders > 0 && isSender(server, instances, senders)
                ? intervalMs((long) (bound * LIST_SHARE) / senders)
                : NEVER;
    }

    private static long intervalMs(long requestsPerWindow) {
        return Math.max(1, (WINDOW_MS + requestsPerWindow - 1) / requestsPerWindow);
    }

    private boolean isSender(String server, List<String> instances, long senders) {
        long own = Rendezvous.weight(server, instance);
        return instances.stream()
                        .filter(i -> !i.equals(instance) && Rendezvous.weight(server, i) > own)
                        .count()
                < senders;
    }
}
