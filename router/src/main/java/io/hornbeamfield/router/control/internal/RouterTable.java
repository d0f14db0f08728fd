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
    static final Duration GONE_AFTER =
            StatusController.RENEWAL_PERIOD.multipliedBy(3).plusSeconds(5);

    private final Map<String, Row> rows = new HashMap<>();
    private Instant graceUntil = Instant.MIN;

    private static final class Row {
        private RouterStatus status;
        private long version;
        private Instant changedAt;
        private @Nullable Instant linkLostAt;
        private boolean gone;

        Row(RouterStatus status, long version, Instant changedAt) {
            this.status = status;
            this.version = version;
            this.changedAt = changedAt;
        }

        boolean isPresent() {
            Instant lost = linkLostAt;
            return !gone && (lost == null || changedAt.isAfter(lost));
        }
    }

    /** Takes note of an object. */
    void seen(RouterStatus status, long version, Instant now) {
        Row row = rows.computeIfAbsent(status.instanceId(), id -> new Row(status, version, now));
        if (version != row.version) {
            row.status = status;
            row.version = version;
            row.changedAt = now;
            row.gone = false;
        }
    }

    /** Ends a pass over all objects, of which only the given ones exist. */
    void passEnded(Collection<String> instanceIds, Instant now) {
        rows.keySet().retainAll(instanceIds);
        if (now.isBefore(graceUntil)) {
            return;
        }
        rows.values().stream()
                .filter(r -> Duration.between(r.changedAt, now).compareTo(GONE_AFTER) > 0)
                .forEach(r -> r.gone = true);
    }

    /** While the platform is away no router can renew its object; after that each gets time to do so. */
    void passFailed(Instant now) {
        graceUntil = now.plus(GONE_AFTER);
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
    List<RouterInfo> present(Predicate<String> saysLeaving) {
        List<RouterInfo> list = new ArrayList<>();
        for (Row row : rows.values()) {
            RouterStatus s = row.status;
            if (row.isPresent()) {
                ServerState state = saysLeaving.test(s.instanceId()) ? ServerState.LEAVING : s.state();
                list.add(new RouterInfo(s.instanceId(), s.incarnation(), s.zone(), s.callerAddress(), state));
            }
        }
        return list;
    }

    /** Returns the peer addresses of all routers that are not gone, by instance id. */
    Map<String, String> peerAddresses() {
        Map<String, String> addresses = new HashMap<>();
        rows.forEach((id, row) -> {
            if (!row.gone) {
                addresses.put(id, row.status.peerAddress());
            }
        });
        return addresses;
    }
}
