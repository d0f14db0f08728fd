package io.hornbeamfield.entry.control;

import io.hornbeamfield.core.discovery.OutageProbe;
import io.hornbeamfield.core.discovery.WatchPacing;
import io.hornbeamfield.core.store.StoreRevision;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.WatchResult;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Watches all objects of a kind: lists them, then watches for changes, and lists again when the history is gone. */
final class StoreWatcher {
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

        /** The store has come back from an older copy; called before a list of what it has now. */
        default void onStoreRestored() {
            // Most states do not depend on what the copy lacks.
        }

        void onStoreLost(String reason);

        /**
         * The store has answered; called before the content of the answer is handled.
         *
         * @param ageMs time in milliseconds since the answer began to arrive
         */
        void onStoreRecovered(long ageMs);
    }

    private final StoreClient store;
    private final String kind;
    private final ScheduledExecutorService control;
    private final EventLog log;
    private final Listener listener;
    private final WatchPacing pacing;
    private final OutageProbe probe;
    private final CatchUp catchUp;
    private StoreRevision lastListed = StoreRevision.NONE;

    StoreWatcher(
            StoreClient store,
            String kind,
            ScheduledExecutorService control,
            EventLog log,
            Listener listener,
            WatchPacing pacing,
            OutageProbe probe,
            CatchUp catchUp) {
        this.store = store;
        this.kind = kind;
        this.control = control;
        this.log = log;
        this.listener = listener;
        this.pacing = pacing;
        this.probe = probe;
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
        onSuccess(list.ageMs());
        if (!lastListed.equals(StoreRevision.NONE) && !lastListed.isOfGenerationOf(list.revision())) {
            handle(listener::onStoreRestored);
        }
        lastListed = list.revision();
        handle(() -> listener.onList(list));
        watch(list.revision());
    }

    private void watch(StoreRevision revision) {
        store.watch(kind, revision, Duration.ofMillis(pacing.watchWaitMs()))
                .whenCompleteAsync((r, f) -> onWatched(revision, r, f), control);
    }

    private void onWatched(StoreRevision revision, @Nullable WatchResult reply, @Nullable Throwable failure) {
        if (reply instanceof WatchResult.Changes c) {
            onSuccess(c.ageMs());
            c.changes().forEach(change -> handle(() -> listener.onChange(change)));
            long debounceMs = c.changes().isEmpty() ? 0 : pacing.changeDebounceMs();
            control.schedule(() -> watch(c.revision()), debounceMs, TimeUnit.MILLISECONDS);
        } else if (reply instanceof WatchResult.HistoryGone) {
            // The store answers, but this answer does not show its current objects.
            onAnswer();
            log.event("store-history-gone")
                    .field("kind", kind)
                    .field("revision", revision.number())
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
        WatchPacing.Retry next = pacing.failed();
        if (pacing.consecutiveFailures() == 1) {
            log.event("store-lost")
                    .field("kind", kind)
                    .field("reason", String.valueOf(failure))
                    .write();
        }
        listener.onStoreLost(String.valueOf(failure));
        Runnable action = next.probed() ? () -> probe.whenReachable(call) : call;
        control.schedule(action, next.delayMs(), TimeUnit.MILLISECONDS);
    }

    private void onSuccess(long ageMs) {
        onAnswer();
        listener.onStoreRecovered(ageMs);
    }

    private void onAnswer() {
        if (pacing.consecutiveFailures() > 0) {
            log.event("store-returned")
                    .field("kind", kind)
                    .field("failures", pacing.consecutiveFailures())
                    .write();
        }
        pacing.succeeded();
    }
}
