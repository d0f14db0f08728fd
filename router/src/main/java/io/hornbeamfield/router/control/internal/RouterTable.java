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
 * The status objects of the other routers with the time of their last change. A router is considered gone if its object
 * stays unchanged for three renewal periods and 5 s, or has not changed since its link broke.
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

    /** Records a status object. */
    void observe(RouterStatus status, long version, Instant now) {
        Row row = rows.computeIfAbsent(status.instanceId(), id -> new Row(status, version, now));
        if (version != row.version) {
            row.status = status;
            row.version = version;
            row.changedAt = now;
            row.expired = false;
        }
    }

    /**
     * Completes a scan of all objects: drops the routers that it did not find and expires those whose object is
     * unchanged for too long.
     */
    void scanCompleted(Collection<String> instanceIds, Instant now) {
        rows.keySet().retainAll(instanceIds);
        if (now.isBefore(graceUntil)) {
            return;
        }
        rows.values().stream()
                .filter(r -> Duration.between(r.changedAt, now).compareTo(EXPIRY_PERIOD) > 0)
                .forEach(r -> r.expired = true);
    }

    /** Suspends expiry for {@link #EXPIRY_PERIOD}: no router can renew its object while the platform is unavailable. */
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

    /** Returns the routers that are considered alive, as leaving if they or the instance list say so. */
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
