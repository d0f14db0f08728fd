package io.hornbeamfield.entry.control;

import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.WatchReply;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/** Follows all objects of a kind: lists them, then watches for changes, and lists again when history is gone. */
final class KindFollower {
    /**
     * A connection that has gone silent is noticed after this time and the call timeout. Together they stay below the 3
     * s after which an instance with fresh connections counts as reachable again.
     */
    private static final Duration WATCH_WAIT = Duration.ofMillis(2_000);

    /**
     * Collects changes that follow each other closely, such as the registrations after a start: each of them wakes
     * every instance. Far below the seconds within which a change must hold.
     */
    private static final long PAUSE_AFTER_CHANGE_MS = 150;

    /** As many calls of a fleet of 86 as the pause above of one of 26. */
    private static final long PAUSE_AFTER_CHANGE_LARGE_FLEET_MS = 500;

    private static final long FIRST_RETRY_MS = 50;

    /** The store counts each call, refused ones too, and must be found again well within a second of its return. */
    private static final long MAX_RETRY_MS = 600;

    /** Receives what is stored. */
    interface Listener {
        void onList(StoreList list);

        void onChange(WatchReply.Change change);

        void onStoreLost(String reason);

        void onStoreReturned();
    }

    private final StoreClient store;
    private final String kind;
    private final ScheduledExecutorService control;
    private final EventLog log;
    private final Listener listener;
    private final LongSupplier pauseAfterChangeMs;
    private int failures;

    KindFollower(
            StoreClient store,
            String kind,
            ScheduledExecutorService control,
            EventLog log,
            Listener listener,
            BooleanSupplier largeFleet) {
        this.store = store;
        this.kind = kind;
        this.control = control;
        this.log = log;
        this.listener = listener;
        this.pauseAfterChangeMs =
                () -> largeFleet.getAsBoolean() ? PAUSE_AFTER_CHANGE_LARGE_FLEET_MS : PAUSE_AFTER_CHANGE_MS;
    }

    void start() {
        list();
    }

    private void list() {
        store.list(kind).whenCompleteAsync(this::listed, control);
    }

    private void listed(@Nullable StoreList list, @Nullable Throwable failure) {
        if (list == null) {
            retry(failure, this::list);
            return;
        }
        returned();
        listener.onList(list);
        watch(list.revision());
    }

    private void watch(long revision) {
        store.watch(kind, revision, WATCH_WAIT).whenCompleteAsync((r, f) -> watched(revision, r, f), control);
    }

    private void watched(long revision, @Nullable WatchReply reply, @Nullable Throwable failure) {
        if (reply instanceof WatchReply.Changes c) {
            returned();
            c.changes().forEach(listener::onChange);
            long pause = c.changes().isEmpty() ? 0 : pauseAfterChangeMs.getAsLong();
            control.schedule(() -> watch(c.revision()), pause, TimeUnit.MILLISECONDS);
        } else if (reply instanceof WatchReply.HistoryGone) {
            returned();
            log.event("store-history-gone")
                    .field("kind", kind)
                    .field("revision", revision)
                    .write();
            list();
        } else {
            retry(failure, () -> watch(revision));
        }
    }

    private void retry(@Nullable Throwable failure, Runnable call) {
        failures++;
        if (failures == 1) {
            log.event("store-lost")
                    .field("kind", kind)
                    .field("reason", String.valueOf(failure))
                    .write();
        }
        listener.onStoreLost(String.valueOf(failure));
        long limit = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(failures, 8));
        long delay = limit / 2 + ThreadLocalRandom.current().nextLong(limit / 2 + 1);
        control.schedule(call, delay, TimeUnit.MILLISECONDS);
    }

    private void returned() {
        if (failures > 0) {
            log.event("store-returned")
                    .field("kind", kind)
                    .field("failures", failures)
                    .write();
        }
        failures = 0;
        listener.onStoreReturned();
    }
}
