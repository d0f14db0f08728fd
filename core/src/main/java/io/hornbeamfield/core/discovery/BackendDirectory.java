package io.hornbeamfield.core.discovery;

import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The announced backend servers. Announcements lapse while the platform's store is away, although the servers live: an
 * entry that is missing when the store returns is kept for {@link #REANNOUNCE_GRACE_MS} so that its server can announce
 * itself again, and dropped when a list read after that does not name it. Not thread-safe.
 *
 * <pre>{@code
 * directory.storeReturned();
 * directory.replaceAll(listed);
 * directory.usable("models");
 * }</pre>
 */
public final class BackendDirectory {
    /**
     * A server that really leaves must get no request 2 s after the store accepted that. This is that time less the
     * delay of the announcement and of the list that {@link #confirmationDue} asks for.
     */
    public static final long MAX_RETENTION_MS = 1_400;

    /** Living servers announce themselves again within about two seconds of the store's return. */
    public static final long REANNOUNCE_GRACE_MS = 2_000;

    /** A single failed call is repeated within some hundred ms; it must not prolong the time that a server is kept. */
    private static final long MIN_OUTAGE_MS = 1_000;

    private final Clock clock;
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Map<String, Long> dropAtMs = new HashMap<>();
    private boolean storeAway;
    private long awaySinceMs;
    private long graceEndsMs = Long.MIN_VALUE;

    public BackendDirectory(Clock clock) {
        this.clock = clock;
    }

    /** Records that the store does not answer. */
    public void storeLost() {
        if (!storeAway) {
            storeAway = true;
            awaySinceMs = clock.millis();
        }
    }

    /** Records that the store answers. After an outage the servers that are missing are kept for a whole grace. */
    public void storeReturned() {
        if (storeAway) {
            storeAway = false;
            long now = clock.millis();
            graceEndsMs = now + REANNOUNCE_GRACE_MS;
            if (now - awaySinceMs >= MIN_OUTAGE_MS) {
                dropAtMs.replaceAll((id, at) -> now + MAX_RETENTION_MS);
            }
        }
    }

    /** Takes over a complete list. */
    public void replaceAll(Collection<BackendServer> listed) {
        Set<String> ids = new HashSet<>();
        listed.forEach(s -> {
            ids.add(s.id());
            put(s);
        });
        servers.keySet().stream().filter(id -> !ids.contains(id)).toList().forEach(this::remove);
    }

    /** Takes over a new or changed announcement. */
    public void put(BackendServer server) {
        servers.put(server.id(), server);
        dropAtMs.remove(server.id());
    }

    /** Records that an announcement is gone. Returns whether its server is kept until the grace ends. */
    public boolean remove(String id) {
        BackendServer server = servers.get(id);
        long now = clock.millis();
        boolean keep = server != null && !server.leaving() && (storeAway || now < graceEndsMs);
        if (keep) {
            long graceLeft = storeAway ? REANNOUNCE_GRACE_MS : graceEndsMs - now;
            dropAtMs.putIfAbsent(id, now + Math.min(graceLeft, MAX_RETENTION_MS));
        } else {
            servers.remove(id);
            dropAtMs.remove(id);
        }
        return keep;
    }

    /**
     * Returns whether the grace of a missing server has ended, so that a list from the store must confirm that it is
     * gone. An instance that loses the store again within the grace cannot tell a gone server from a living one whose
     * announcement it has not seen; it keeps both until the store answers.
     */
    public boolean confirmationDue() {
        long now = clock.millis();
        return !storeAway && dropAtMs.values().stream().anyMatch(at -> at <= now);
    }

    /** Drops the servers whose grace has ended and that a complete list does not name. Returns their ids. */
    public List<String> dropUnlisted(Collection<BackendServer> listed) {
        long now = clock.millis();
        Set<String> ids = listed.stream().map(BackendServer::id).collect(Collectors.toSet());
        List<String> dropped = dropAtMs.entrySet().stream()
                .filter(e -> e.getValue() <= now && !ids.contains(e.getKey()))
                .map(Map.Entry::getKey)
                .toList();
        dropped.forEach(id -> {
            servers.remove(id);
            dropAtMs.remove(id);
        });
        return dropped;
    }

    /** Returns the servers of a service that take new requests. */
    public List<BackendServer> usable(String service) {
        return servers.values().stream()
                .filter(s -> s.service().equals(service) && !s.leaving())
                .toList();
    }

    /** Returns a server by its id. */
    public Optional<BackendServer> find(String id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns all servers. */
    public List<BackendServer> all() {
        return List.copyOf(servers.values());
    }
}
