package io.hornbeamfield.router.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;

/**
 * The lease that entitles a single router to issue orders. Each router measures the lease on its own monotonic clock:
 * the holder from before it sent the write, a successor from when it first observed the latest version.
 */
final class OrdersLease {
    static final String KEY = "leases/orders";
    /** Each router reads or renews the lease at a third of this time, so a shorter lease costs more platform calls. */
    static final Duration DURATION = Duration.ofSeconds(30);
    /** The holder issues no orders in this last part of the lease. */
    static final Duration SAFETY_MARGIN = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(OrdersLease.class);
    private static final Duration RENEWAL_PERIOD = DURATION.dividedBy(3);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final ControlContext context;
    private Instant expiry = Instant.EPOCH;
    private long fence;
    private long version;
    private Instant versionObservedAt = Instant.EPOCH;
    private boolean holding;
    private boolean released;

    /** The lease object on the platform. A duration of 0 means that the holder released the lease. */
    record Lease(String holder, long fence, long durationMs) {}

    private record VersionedLease(Lease lease, long version) {}

    OrdersLease(ControlContext context) {
        this.context = context;
    }

    void start() {
        if (released) {
            return;
        }
        if (holding) {
            write(version, new Lease(context.incarnation(), fence, DURATION.toMillis()));
        } else {
            context.loop()
                    .onDone(
                            context.platform().read(KEY).thenApply(v -> v.map(OrdersLease::parse)),
                            this::leaseRead,
                            failure -> scheduleNext(RETRY_DELAY));
        }
    }

    private void scheduleNext(Duration delay) {
        context.loop().after(delay, this::start);
    }

    /** Returns whether this router may issue orders now. */
    boolean mayIssueOrders() {
        return holding && !released && context.now().isBefore(expiry.minus(SAFETY_MARGIN));
    }

    long fence() {
        return fence;
    }

    private static VersionedLease parse(VersionedValue value) {
        return new VersionedLease(Json.read(value.value(), Lease.class), value.version());
    }

    private static Optional<Lease> readable(VersionedValue value) {
        try {
            return Optional.of(parse(value).lease());
        } catch (UncheckedIOException e) {
            LOG.errorf("The lease object %s cannot be parsed. Remove it.", KEY);
            return Optional.empty();
        }
    }

    private void leaseRead(Optional<VersionedLease> value) {
        if (value.isEmpty()) {
            write(0, new Lease(context.incarnation(), 1, DURATION.toMillis()));
            return;
        }
        Lease lease = value.get().lease();
        recordVersion(value.get().version());
        if (isOwn(lease)) {
            resumeOwnLease(lease);
            return;
        }
        Instant expiresAt = versionObservedAt.plusMillis(lease.durationMs());
        if (context.now().isBefore(expiresAt)) {
            Duration left = Duration.between(context.now(), expiresAt);
            scheduleNext(left.compareTo(RENEWAL_PERIOD) < 0 ? left : RENEWAL_PERIOD);
        } else {
            write(version, new Lease(context.incarnation(), lease.fence() + 1, DURATION.toMillis()));
        }
    }

    private boolean isOwn(Lease lease) {
        return lease.holder().equals(context.incarnation());
    }

    /**
     * Resumes a lease that this router acquired by a write whose answer was lost. The lease is renewed at once, and
     * orders are issued only after that, because the start of the lease is unknown.
     */
    private void resumeOwnLease(Lease lease) {
        if (!holding) {
            holding = true;
            fence = lease.fence();
            expiry = Instant.EPOCH;
        }
        scheduleNext(Duration.ZERO);
    }

    private void recordVersion(long newVersion) {
        if (newVersion != version || versionObservedAt.equals(Instant.EPOCH)) {
            version = newVersion;
            versionObservedAt = context.now();
        }
    }

    private void write(long expectedVersion, Lease lease) {
        Instant sentAt = context.now();
        JsonNode json = Json.tree(lease);
        context.loop()
                .onDone(
                        context.platform().write(KEY, expectedVersion, json),
                        result -> written(lease, sentAt, result),
                        failure -> scheduleNext(RETRY_DELAY));
    }

    private void written(Lease lease, Instant sentAt, WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            if (!holding) {
                LOG.infof("This router acquired the orders lease with fencing token %d.", lease.fence());
            }
            holding = true;
            fence = lease.fence();
            recordVersion(applied.version());
            expiry = sentAt.plus(DURATION);
            scheduleNext(RENEWAL_PERIOD);
        } else if (result instanceof WriteResult.Conflict conflict) {
            conflict(conflict.current());
        } else {
            // The write may have taken effect; the next attempt then conflicts with it.
            scheduleNext(RETRY_DELAY);
        }
    }

    private void conflict(Optional<VersionedValue> current) {
        current.ifPresent(c -> recordVersion(c.version()));
        Optional<Lease> stored = current.flatMap(OrdersLease::readable);
        if (stored.filter(this::isOwn).isPresent()) {
            resumeOwnLease(stored.get());
            return;
        }
        if (holding) {
            LOG.info("This router lost the orders lease: its renewal conflicted with another write.");
        }
        holding = false;
        scheduleNext(RENEWAL_PERIOD);
    }

    /** Stops issuing orders because a server has seen a newer fencing token. */
    void invalidate() {
        expiry = Instant.EPOCH;
    }

    /** Releases the lease, so that a successor does not have to wait for its expiry. */
    CompletableFuture<Void> release() {
        released = true;
        if (!holding) {
            return CompletableFuture.completedFuture(null);
        }
        holding = false;
        return context.platform()
                .write(KEY, version, Json.tree(new Lease(context.incarnation(), fence, 0)))
                .handle((result, failure) -> null);
    }
}
