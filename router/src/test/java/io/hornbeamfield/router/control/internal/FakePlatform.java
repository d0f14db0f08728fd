package io.hornbeamfield.router.control.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.net.http.CallFailure;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.InstanceInfo;
import io.hornbeamfield.net.platform.ObjectPage;
import io.hornbeamfield.net.platform.PlatformClient;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.net.platform.WriteResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** One router's client of an in-memory platform, with fault injection. */
final class FakePlatform implements PlatformClient {
    /** The objects and pending watches of the platform, shared by the clients of all routers. */
    static final class Store {
        final TreeMap<String, VersionedValue> objects = new TreeMap<>();
        final List<Runnable> watches = new ArrayList<>();
        final List<InstanceInfo> instances = new ArrayList<>();
        private long version;

        void put(String key, Object value) {
            objects.put(key, new VersionedValue(key, ++version, Json.tree(value)));
            List<Runnable> due = List.copyOf(watches);
            watches.clear();
            due.forEach(Runnable::run);
        }

        <T> T get(String key, Class<T> type) {
            return Json.read(objects.get(key).value(), type);
        }
    }

    final Store store;
    boolean unavailable;
    int loseAnswers;
    int reads;
    int writes;
    Supplier<CompletableFuture<Void>> delay = () -> CompletableFuture.completedFuture(null);
    Runnable beforeWrite = () -> {};
    private final ManualLoop loop;

    FakePlatform(Store store, ManualLoop loop) {
        this.store = store;
        this.loop = loop;
    }

    private <T> CompletableFuture<T> answer(Supplier<T> action) {
        if (unavailable) {
            return CompletableFuture.failedFuture(new CallFailure(CallFailure.Kind.TIMED_OUT, "away"));
        }
        return delay.get().thenApply(nothing -> action.get());
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> read(String key) {
        reads++;
        return answer(() -> Optional.ofNullable(store.objects.get(key)));
    }

    @Override
    public CompletableFuture<WriteResult> write(String key, long expectedVersion, JsonNode value) {
        return update(key, expectedVersion, () -> store.put(key, value));
    }

    @Override
    public CompletableFuture<WriteResult> delete(String key, long expectedVersion) {
        return update(key, expectedVersion, () -> store.objects.remove(key));
    }

    private CompletableFuture<WriteResult> update(String key, long expectedVersion, Runnable change) {
        writes++;
        beforeWrite.run();
        if (unavailable) {
            return CompletableFuture.completedFuture(new WriteResult.Unknown("away"));
        }
        return delay.get().thenApply(nothing -> {
            VersionedValue current = store.objects.get(key);
            if ((current == null ? 0 : current.version()) != expectedVersion) {
                return lost(new WriteResult.Conflict(Optional.ofNullable(current)));
            }
            change.run();
            return lost(new WriteResult.Applied(store.version));
        });
    }

    private WriteResult lost(WriteResult result) {
        return loseAnswers-- > 0 ? new WriteResult.Unknown("lost") : result;
    }

    @Override
    public CompletableFuture<ObjectPage> list(String prefix, String afterKey, int limit) {
        reads++;
        return answer(() -> {
            List<VersionedValue> found =
                    store.objects.tailMap(afterKey.isEmpty() ? prefix : afterKey, afterKey.isEmpty()).values().stream()
                            .filter(o -> o.key().startsWith(prefix))
                            .toList();
            return new ObjectPage(found.subList(0, Math.min(limit, found.size())), found.size() > limit);
        });
    }

    @Override
    public CompletableFuture<Optional<VersionedValue>> watch(String key, long afterVersion, Duration wait) {
        CompletableFuture<Optional<VersionedValue>> future = new CompletableFuture<>();
        answerWatch(key, afterVersion, future);
        loop.after(wait, () -> {
            if (unavailable) {
                future.completeExceptionally(new CallFailure(CallFailure.Kind.TIMED_OUT, "away"));
            } else {
                future.complete(Optional.empty());
            }
        });
        return future;
    }

    private void answerWatch(String key, long afterVersion, CompletableFuture<Optional<VersionedValue>> future) {
        VersionedValue current = store.objects.get(key);
        if (!unavailable && current != null && current.version() > afterVersion) {
            future.complete(Optional.of(current));
        } else if (!future.isDone()) {
            store.watches.add(() -> answerWatch(key, afterVersion, future));
        }
    }

    @Override
    public CompletableFuture<List<InstanceInfo>> instances() {
        return answer(() -> List.copyOf(store.instances));
    }
}
