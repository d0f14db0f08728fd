package io.hornbeamfield.core.placement;

import io.hornbeamfield.core.discovery.BackendServer;
import io.hornbeamfield.core.route.ColdPhase;
import io.hornbeamfield.core.routing.Rendezvous;
import java.time.Clock;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Which backend servers are cold. Designed for the return of a whole zone of servers under full load, whose
 * registrations arrive up to some seconds late and not at all at partitioned instances. A server is cold after this
 * instance first saw its incarnation or could not reach it, unless there is proof that it is warm. Not thread-safe.
 *
 * <pre>{@code
 * cold.seen(server, phase);
 * if (cold.remainingMs(server) > 0) {
 *     // limit the requests to it
 * }
 * }</pre>
 */
public final class ColdServers {
    /** The longest time for which a server can declare itself cold; longer ones are considered unreadable. */
    public static final long MAX_COLD_MS = 10 * 60 * 1_000;

    /** More servers than a fleet has; a dropped one is judged again as if it was seen for the first time. */
    static final int MAX_SERVERS = 4_096;

    /** Clocks of machines differ, and may jump, by less than this. */
    static final long CLOCK_TOLERANCE_MS = 5_000;

    private static final long MIN_MARGIN_MS = 500;

    /** The instances resume full load spread over this time, so that a server that gets warm sees no surge. */
    private static final long MARGIN_SPREAD_MS = 1_000;

    private final Clock clock;
    private final String instance;
    private final Listener listener;
    private final Map<String, State> states = new LinkedHashMap<>();

    /** Receives the changes of a server's state. */
    public interface Listener {
        /** A server that counted as warm, or was not known, is cold. */
        void onCold(BackendServer server, String reason, long coldMs);

        /** A server that was cold is warm. */
        void onWarm(BackendServer server);
    }

    private static final class State {
        private BackendServer server;
        private long coldUntilMs;
        private boolean cold;

        State(BackendServer server) {
            this.server = server;
        }
    }

    public ColdServers(Clock clock, String instance, Listener listener) {
        this.clock = clock;
        this.instance = instance;
        this.listener = listener;
    }

    /** Records the present registration of a server. */
    public void seen(BackendServer server, ColdPhase phase) {
        State state = states.get(server.id());
        if (state != null && state.server.equals(server)) {
            return;
        }
        if (state == null || !state.server.sameIncarnation(server)) {
            boolean older = state != null && server.startedAtMs() < state.server.startedAtMs();
            State next = state == null ? add(server) : state;
            next.server = server;
            if (older || !isProvenWarm(server, phase)) {
                long declaredMs = server.coldLeftMs().isPresent()
                        ? plausible(server.coldLeftMs().getAsLong(), phase)
                        : 0;
                extend(next, Math.max(phase.durationMs(), declaredMs), reason(server, "new-incarnation"));
            } else {
                next.coldUntilMs = clock.millis();
            }
            return;
        }
        boolean changed = !state.server.coldLeftMs().equals(server.coldLeftMs());
        state.server = server;
        if (changed && server.coldLeftMs().isPresent()) {
            extend(state, plausible(server.coldLeftMs().getAsLong(), phase), reason(server, "registration"));
        }
    }

    private static String reason(BackendServer server, String valid) {
        OptionalLong ms = server.coldLeftMs();
        return ms.isPresent() && !isPlausible(ms.getAsLong()) ? "invalid-registration" : valid;
    }

    private State add(BackendServer server) {
        State state = new State(server);
        states.put(server.id(), state);
        if (states.size() > MAX_SERVERS) {
            states.remove(states.keySet().iterator().next());
        }
        return state;
    }

    /** Returns whether a registration shows that its server is past its cold phase. */
    private boolean isProvenWarm(BackendServer server, ColdPhase phase) {
        long ageMs = clock.millis() - server.startedAtMs();
        return server.startedAtMs() > 0
                && server.coldLeftMs().equals(OptionalLong.of(0))
                && ageMs >= phase.durationMs() + CLOCK_TOLERANCE_MS;
    }

    /** Records that a server could not be reached or closed its connections, so that it may have restarted. */
    public void unreachable(BackendServer server, ColdPhase phase) {
        extend(state(server, phase), phase.durationMs(), "unreachable");
    }

    /**
     * Records that a server can be reached again.
     *
     * @param reportedMs remaining cold time by the server's answer to a health check, empty if it did not say
     */
    public void reachable(BackendServer server, ColdPhase phase, OptionalLong reportedMs) {
        State state = state(server, phase);
        state.coldUntilMs = clock.millis();
        extend(
                state,
                reportedMs.isPresent() ? plausible(reportedMs.getAsLong(), phase) : phase.durationMs(),
                "reachable-again");
    }

    /** Records the remaining cold time that an answer of a server, or of an earlier incarnation of it, reports. */
    public void reported(BackendServer server, ColdPhase phase, long coldMs) {
        State state = state(server, phase);
        if (state.server.startedAtMs() == server.startedAtMs()) {
            extend(state, plausible(coldMs, phase), "answer");
        }
    }

    private State state(BackendServer server, ColdPhase phase) {
        State state = states.get(server.id());
        if (state == null) {
            seen(server, phase);
            state = states.get(server.id());
        }
        return state == null ? add(server) : state;
    }

    /** An unreadable time counts as a whole phase. */
    private static long plausible(long coldMs, ColdPhase phase) {
        return isPlausible(coldMs) ? coldMs : phase.durationMs();
    }

    private static boolean isPlausible(long coldMs) {
        return coldMs >= 0 && coldMs <= MAX_COLD_MS;
    }

    private void extend(State state, long coldMs, String reason) {
        if (coldMs <= 0) {
            return;
        }
        long now = clock.millis();
        long marginMs = MIN_MARGIN_MS + Rendezvous.weight(state.server.id(), instance) % MARGIN_SPREAD_MS;
        state.coldUntilMs = Math.max(state.coldUntilMs, now + coldMs + marginMs);
        if (!state.cold) {
            state.cold = true;
            listener.onCold(state.server, reason, state.coldUntilMs - now);
        }
    }

    /** Returns the time for which a server stays cold, 0 if it is warm. */
    public long remainingMs(BackendServer server) {
        State state = states.get(server.id());
        return state == null ? 0 : Math.max(0, state.coldUntilMs - clock.millis());
    }

    /** Notifies the listener of the servers that are warm now, and forgets warm servers that are not listed. */
    public void update(Collection<String> listed) {
        long now = clock.millis();
        states.entrySet().removeIf(e -> e.getValue().coldUntilMs <= now && !listed.contains(e.getKey()));
        states.values().stream().filter(s -> s.cold && s.coldUntilMs <= now).forEach(s -> {
            s.cold = false;
            listener.onWarm(s.server);
        });
    }

    /** Returns the number of cold servers. */
    public long count() {
        long now = clock.millis();
        return states.values().stream().filter(s -> s.coldUntilMs > now).count();
    }
}
