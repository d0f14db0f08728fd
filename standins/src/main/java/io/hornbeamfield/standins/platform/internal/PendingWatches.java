package io.hornbeamfield.standins.platform.internal;

import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.standins.internal.Answers;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Watches that wait for a change. Each is answered once: by a change, the end of its wait or an outage. */
final class PendingWatches {
    private final ObjectStore store;
    private final ScheduledExecutorService timer;
    private final Map<ObjectStore.Watcher, HttpExchange> waiting = new ConcurrentHashMap<>();

    PendingWatches(ObjectStore store, ScheduledExecutorService timer) {
        this.store = store;
        this.timer = timer;
    }

    void await(HttpExchange x, String key, long after, long waitMs, Consumer<StoredObject> onChange) {
        Optional<StoredObject> now = store.readOrWatch(
                key,
                after,
                object -> {
                    waiting.values().remove(x);
                    onChange.accept(object);
                },
                watcher -> {
                    waiting.put(watcher, x);
                    timer.schedule(() -> endWait(watcher, x), waitMs, TimeUnit.MILLISECONDS);
                    x.onDisconnect(() -> drop(watcher));
                });
        now.ifPresent(onChange);
    }

    private void endWait(ObjectStore.Watcher watcher, HttpExchange x) {
        if (drop(watcher)) {
            x.reply(204, Map.of(), new byte[0]);
        }
    }

    private boolean drop(ObjectStore.Watcher watcher) {
        waiting.remove(watcher);
        return store.unwatch(watcher);
    }

    void failAll() {
        waiting.forEach((watcher, x) -> {
            if (drop(watcher)) {
                Answers.error(x, 503, "The platform has an outage.");
            }
        });
    }
}
