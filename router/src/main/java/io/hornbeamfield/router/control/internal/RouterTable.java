package io.hornbeamfield.router.control.internal;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.RouterInfo;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Status objects of the other routers with the time of their last change. A router whose object stays unchanged over
 * three renewals, or has not changed since its link broke, is taken for gone.
 */
final class RouterTable {
    static final Duration EXPIRY_PERIOD =
            StatusController.RENEWAL_PERIOD.multipliedBy(3).plusSeconds(5);

    private final Map<String, Row> rows = new HashMap<>();
    private Instant graceUntil = Instant.MIN;

    private static final class Row {
        private RouterStatus status;
        private long version;
        private Instant changedAt;
        private @Nullable Instant linkLostAt;
        private boolean expired;

        Row(RouterStatus status, long version, Instant changedAt) {
            this.status = status;
            this.version = version;
            this.changedAt = changedAt;
        }

        boolean isActive() {
            Instant lost = linkLostAt;
            return !expired && (lost == null || changedAt.isAfter(lost));
        }
    }

    /** Takes note of an object. */
    void observe(RouterStatus status, long version, Instant now) {
        Row row = rows.computeIfAbsent(status.instanceId(), id -> new Row(status, version, now));
        if (version != row.version) {
            row.status = status;
            row.version = version;
            row.changedAt = now;
            row.expired = false;
        }
    }

    /** Ends a pass over all objects, of which only the given ones exist. */
    void scanCompleted(Collection<String> instanceIds, Instant now) {
        rows.keySet().retainAll(instanceIds);
        if (now.isBefore(graceUntil)) {
            return;
        }
        rows.values().stream()
                .filter(r -> Duration.between(r.changedAt, now).compareTo(EXPIRY_PERIOD) > 0)
                .forEach(r -> r.expired = true);
    }

    /** While the platform is away no router can renew its object; after that each gets time to do so. */
    void scanFailed(Instant now) {
        graceUntil = now.plus(EXPIRY_PERIOD);
    }

    void linked(String instanceId) {
        Row row = rows.get(instanceId);
        if (row != null) {
            row.linkLostAt = null;
        }
    }

    void linkLost(String instanceId, Instant now) {
        Row row = rows.get(instanceId);
        if (row != null) {
            row.linkLostAt = now;
        }
    }

    /** Returns the routers that are taken for present, with the state that they and the instance list tell. */
    List<RouterInfo> activeRouters(Predicate<String> listedAsLeaving) {
        List<RouterInfo> list = new ArrayList<>();
        for (Row row : rows.values()) {
            RouterStatus s = row.status;
            if (row.isActive()) {
                ServerState state = listedAsLeaving.test(s.instanceId()) ? ServerState.LEAVING : s.state();
                list.add(new RouterInfo(s.instanceId(), s.incarnation(), s.zone(), s.callerAddress(), state));
            }
        }
        return list;
    }

    /** Returns the peer addresses of all routers that have not expired, by instance id. */
    Map<String, String> peerAddresses() {
        Map<String, String> addresses = new HashMap<>();
        rows.forEach((id, row) -> {
            if (!row.expired) {
                addresses.put(id, row.status.peerAddress());
            }
        });
        return addresses;
    }
}
