package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.WatchTiming;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.WatchResult;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** Watches all objects of a kind: lists them, then watches for changes, and lists again when the history is gone. */
final class StoreWatcher {
    /**
     * While the store does not respond, a call that was sent into the silence is not answered when it ends. Short calls
     * notice the end within the call timeout and a backoff.
     */
    private static final Duration RECOVERY_WATCH_WAIT = Duration.ofMillis(100);

    private static final long INITIAL_BACKOFF_MS = 50;

    /** The store counts every call, including rejected ones; its recovery must be noticed well within a second. */
    private static final long MAX_BACKOFF_MS = 600;

    /** What follows a watch without an answer. */
    enum CatchUp {
        /** Watch from the last known revision. */
        EVENTS,
        /** List the objects, because the events that were missed may be too large to arrive in time. */
        LIST
    }

    /** Receives the objects of the kind, their changes, and the availability of the store. */
    interface Listener {
        void onList(StoreList list);

        void onChange(WatchResult.Change change);

        void onStoreLost(String reason);

        void onStoreRecovered();
    }

    private final StoreClient store;
    private final String kind;
    private final ScheduledExecutorService control;
    private final EventLog log;
    private final Listener listener;
    private final WatchTiming timing;
    private final BooleanSupplier largeFleet;
    private final CatchUp catchUp;
    private int consecutiveFailures;

    StoreWatcher(
            StoreClient store,
            String kind,
            ScheduledExecutorService control,
            EventLog log,
            Listener listener,
            WatchTiming timing,
            BooleanSupplier largeFleet,
            CatchUp catchUp) {
        this.store = store;
        this.kind = kind;
        this.control = control;
        this.log = log;
        this.listener = listener;
        this.timing = timing;
        this.largeFleet = largeFleet;
        this.catchUp = catchUp;
    }

    void start() {
        list();
    }

    private void list() {
        store.list(kind).whenCompleteAsync(this::onListed, control);
    }

    private void onListed(@Nullable StoreList list, @Nullable Throwable failure) {
        if (list == null) {
            retry(failure, this::list);
            return;
        }
        onSuccess();
        handle(() -> listener.onList(list));
        watch(list.revision());
    }

    private void watch(long revision) {
        Duration wait = consecutiveFailures > 0 ? RECOVERY_WATCH_WAIT : Duration.ofMillis(timing.watchWaitMs());
        store.watch(kind, revision, wait).whenCompleteAsync((r, f) -> onWatched(revision, r, f), control);
    }

    private void onWatched(long revision, @Nullable WatchResult reply, @Nullable Throwable failure) {
        if (reply instanceof WatchResult.Changes c) {
            onSuccess();
            c.changes().forEach(change -> handle(() -> listener.onChange(change)));
            long debounceMs = c.changes().isEmpty() ? 0 : timing.changeDebounceMs(largeFleet.getAsBoolean());
            control.schedule(() -> watch(c.revision()), debounceMs, TimeUnit.MILLISECONDS);
        } else if (reply instanceof WatchResult.HistoryGone) {
            onSuccess();
            log.event("store-history-gone")
                    .field("kind", kind)
                    .field("revision", revision)
                    .write();
            list();
        } else {
            retry(failure, catchUp == CatchUp.LIST ? this::list : () -> watch(revision));
        }
    }

    /** An object that cannot be handled must not end the watch of the others. */
    private void handle(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            log.event("store-object-failed")
                    .field("kind", kind)
                    .field("reason", String.valueOf(e))
                    .write();
        }
    }

    private void retry(@Nullable Throwable failure, Runnable call) {
        consecutiveFailures++;
        if (consecutiveFailures == 1) {
            log.event("store-lost")
                    .field("kind", kind)
                    .field("reason", String.valueOf(failure))
                    .write();
        }
        listener.onStoreLost(String.valueOf(failure));
        long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(consecutiveFailures, 8));
        long delayMs = backoffMs / 2 + ThreadLocalRandom.current().nextLong(backoffMs / 2 + 1);
        control.schedule(call, delayMs, TimeUnit.MILLISECONDS);
    }

    private void onSuccess() {
        if (consecutiveFailures > 0) {
            log.event("store-returned")
                    .field("kind", kind)
                    .field("failures", consecutiveFailures)
                    .write();
        }
        consecutiveFailures = 0;
        listener.onStoreRecovered();
    }
}
