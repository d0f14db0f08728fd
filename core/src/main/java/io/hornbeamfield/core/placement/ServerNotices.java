package io.hornbeamfield.core.placement;

import io.hornbeamfield.core.discovery.BackendServer;
import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * What backend servers have said in their answers about new requests: that they are leaving, or that they want none for
 * some time. A server's own word counts although its registration says otherwise or cannot be read. It ends with the
 * server's incarnation. Not thread-safe.
 *
 * <pre>{@code
 * notices.pauseRequested(server, 1_500);
 * OptionalLong delayMs = notices.delayMs(server);
 * }</pre>
 */
public final class ServerNotices {
    /** The longest time for which a server can keep requests away with one answer. */
    public static final long MAX_PAUSE_MS = 10 * 60 * 1_000;

    /** More servers than a fleet has; beyond that the oldest notices are dropped. */
    static final int MAX_SERVERS = 4_096;

    private final Clock clock;
    private final Map<String, Notice> notices = new LinkedHashMap<>();

    /**
     * The notices of one incarnation of a server.
     *
     * @param startedAtMs start of the incarnation, 0 if unknown
     * @param pausedUntilMs end of the last pause that it has asked for
     */
    private record Notice(long startedAtMs, boolean leaving, long pausedUntilMs) {
        boolean isOf(BackendServer server) {
            return startedAtMs == 0 || server.startedAtMs() == 0 || startedAtMs == server.startedAtMs();
        }
    }

    public ServerNotices(Clock clock) {
        this.clock = clock;
    }

    /** Records that a server is leaving. Returns whether that was not known. */
    public boolean leaving(BackendServer server) {
        Notice last = last(server);
        return !last.leaving() && put(server, new Notice(server.startedAtMs(), true, last.pausedUntilMs()));
    }

    /**
     * Records that a server wants no requests for some time. A shorter time does not end an earlier pause. Returns
     * whether the pause lasts longer than was known.
     */
    public boolean pauseRequested(BackendServer server, long pauseMs) {
        Notice last = last(server);
        long untilMs = clock.millis() + Math.min(pauseMs, MAX_PAUSE_MS);
        return untilMs > Math.max(last.pausedUntilMs(), clock.millis())
                && put(server, new Notice(server.startedAtMs(), last.leaving(), untilMs));
    }

    /** Returns the time until a server takes new requests, 0 if it takes them now, empty if it is leaving. */
    public OptionalLong delayMs(BackendServer server) {
        Notice last = last(server);
        return last.leaving()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, last.pausedUntilMs() - clock.millis()));
    }

    private Notice last(BackendServer server) {
        Notice last = notices.get(server.id());
        return last != null && last.isOf(server) ? last : new Notice(server.startedAtMs(), false, 0);
    }

    private boolean put(BackendServer server, Notice next) {
        Notice last = notices.get(server.id());
        if (last != null && !last.isOf(server) && last.startedAtMs() > server.startedAtMs()) {
            // A late answer of an earlier incarnation.
            return false;
        }
        notices.remove(server.id());
        notices.put(server.id(), next);
        if (notices.size() > MAX_SERVERS) {
            notices.remove(notices.keySet().iterator().next());
        }
        return true;
    }
}
