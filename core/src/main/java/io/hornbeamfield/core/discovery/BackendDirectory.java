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
 * The registered backend servers. Registrations expire during an outage of the platform's store although their servers
 * are alive. A server whose registration is missing when the store returns is therefore retained for up to
 * {@link #REREGISTRATION_GRACE_MS} so that it can register again. It is dropped if a list that is read after that does
 * not contain it. Not thread-safe.
 *
 * <pre>{@code
 * directory.storeReturned();
 * directory.replaceAll(listed);
 * directory.usable("models");
 * }</pre>
 */
public final class BackendDirectory {
    /**
     * Longest time for which a server without a registration is retained. A server that has left must get no requests
     * later than 2 s after the store accepted its removal; this value leaves time for the notification and for the list
     * that {@link #confirmationDue} asks for.
     */
    public static final long MAX_RETENTION_MS = 1_400;

    /** Time after the store's return within which servers that are alive register again, about 2 s. */
    public static final long REREGISTRATION_GRACE_MS = 2_000;

    /**
     * Shortest outage that restarts the retention. A single failed call is retried within a few hundred milliseconds
     * and must not prolong it.
     */
    private static final long MIN_OUTAGE_MS = 1_000;

    private final Clock clock;
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Map<String, Long> dropAtMs = new HashMap<>();
    private boolean storeUnreachable;
    private long unreachableSinceMs;
    private long graceEndsMs = Long.MIN_VALUE;

    public BackendDirectory(Clock clock) {
        this.clock = clock;
    }

    /** Records that the store is unreachable. */
    public void storeLost() {
        if (!storeUnreachable) {
            storeUnreachable = true;
            unreachableSinceMs = clock.millis();
        }
    }

    /** Records that the store is reachable. After an outage the retention of missing servers starts anew. */
    public void storeReturned() {
        if (storeUnreachable) {
            storeUnreachable = false;
            long now = clock.millis();
            graceEndsMs = now + REREGISTRATION_GRACE_MS;
            if (now - unreachableSinceMs >= MIN_OUTAGE_MS) {
                dropAtMs.replaceAll((id, at) -> now + MAX_RETENTION_MS);
            }
        }
    }

    /** Records that the store came back from an older copy, in which live servers may be missing. */
    public void storeRestored() {
        graceEndsMs = clock.millis() + REREGISTRATION_GRACE_MS;
    }

    /** Applies a complete list of registrations. */
    public void replaceAll(Collection<BackendServer> listed) {
        Set<String> ids = new HashSet<>();
        listed.forEach(s -> {
            ids.add(s.id());
            put(s);
        });
        servers.keySet().stream().filter(id -> !ids.contains(id)).toList().forEach(this::remove);
    }

    /** Applies a new or changed registration. */
    public void put(BackendServer server) {
        servers.put(server.id(), server);
        dropAtMs.remove(server.id());
    }

    /** Records that a registration is gone. Returns whether its server is retained for now. */
    public boolean remove(String id) {
        BackendServer server = servers.get(id);
        long now = clock.millis();
        boolean retain = server != null && !server.leaving() && (storeUnreachable || now < graceEndsMs);
        if (retain) {
            long remainingGraceMs = storeUnreachable ? REREGISTRATION_GRACE_MS : graceEndsMs - now;
            dropAtMs.putIfAbsent(id, now + Math.min(remainingGraceMs, MAX_RETENTION_MS));
        } else {
            servers.remove(id);
            dropAtMs.remove(id);
        }
        return retain;
    }

    /**
     * Returns whether the retention of a missing server has ended, so that a list from the store must confirm that it
     * is gone. An instance that loses the store again within that time cannot distinguish a server that is gone from
     * one that is alive and whose registration it has not seen; it retains both until the store answers.
     */
    public boolean confirmationDue() {
        long now = clock.millis();
        return !storeUnreachable && dropAtMs.values().stream().anyMatch(at -> at <= now);
    }

    /** Drops the servers whose retention has ended and that a complete list does not contain. Returns their ids. */
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

    /** Returns the servers of a service that accept new requests. */
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
