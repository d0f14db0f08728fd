package io.hornbeamfield.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.discovery.OutageProbe;
import io.hornbeamfield.core.discovery.WatchPacing;
import io.hornbeamfield.core.discovery.WatchTiming;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.metrics.Metrics;
import io.hornbeamfield.platform.StoreCalls;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.WatchResult;
import io.hornbeamfield.platform.standin.FakeStore;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against an instance of a large fleet that calls the store in vain, or notices its return late. */
final class StoreOutageCallsTest {
    private static final Duration TIMEOUT = Duration.ofMillis(900);
    private static final long OUTAGE_MS = 6_000;

    /** Time after which contact is expected again. */
    private static final long CONTACT_MS = 4_000;

    private static final long DEBOUNCE_MS = 1_200;

    private final FakeStore store = new FakeStore();
    private final HttpClient http = HttpClient.create("test");
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final StoreCalls calls = new StoreCalls(Metrics.create());
    private final BlockingQueue<String> known = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        control.shutdownNow();
        http.close();
        store.close();
    }

    private final class Names implements StoreWatcher.Listener {
        @Override
        public void onList(StoreList list) {
            list.objects().forEach(o -> known.add(o.name()));
        }

        @Override
        public void onChange(WatchResult.Change change) {
            known.add(change.object().name());
        }

        @Override
        public void onStoreLost(String reason) {
            // The calls are counted.
        }

        @Override
        public void onStoreRecovered(long ageMs) {
            // The calls are counted.
        }
    }

    private void start() {
        StoreClient client = new StoreClient(http, store.address(), TIMEOUT, Duration.ofSeconds(4), calls);
        OutageProbe probe = new OutageProbe(
                Clock.systemUTC(),
                onEnd -> client.listStale("entries").whenCompleteAsync((l, f) -> onEnd.accept(l != null), control),
                (ms, action) -> control.schedule(action, ms, TimeUnit.MILLISECONDS),
                Math::random);
        WatchTiming timing = new WatchTiming(CONTACT_MS, 3_000, TIMEOUT.toMillis());
        start(client, "config", new WatchPacing(timing, WatchPacing.Changes.SINGLE, () -> true, Math::random), probe);
        start(client, "servers", new WatchPacing(timing, WatchPacing.Changes.BURSTS, () -> true, Math::random), probe);
    }

    private void start(StoreClient client, String kind, WatchPacing pacing, OutageProbe probe) {
        StoreWatcher.CatchUp catchUp = kind.equals("config") ? StoreWatcher.CatchUp.LIST : StoreWatcher.CatchUp.EVENTS;
        StoreWatcher watcher =
                new StoreWatcher(client, kind, control, EventLog.none(), new Names(), pacing, probe, catchUp);
        control.execute(watcher::start);
    }

    private void put(String kind, String name) {
        store.put(kind, name, Json.mapper().createObjectNode());
    }

    private long unanswered() {
        return calls.counts().entrySet().stream()
                .filter(e -> !e.getKey().startsWith("entries"))
                .filter(e -> e.getKey().endsWith("refused") || e.getKey().endsWith("failed"))
                .mapToLong(e -> e.getValue())
                .sum();
    }

    /** Each watch fails, is repeated once, and is repeated after 5 s in case only the probes fail. */
    @ParameterizedTest
    @EnumSource(
            value = FakeStore.Mode.class,
            names = {"SILENT", "UNAVAILABLE"})
    void anOutageCostsFewCallsAndItsEndIsNoticedInTime(FakeStore.Mode outage) throws InterruptedException {
        put("config", "c-1");
        put("servers", "s-1");
        start();
        assertThat(known.poll(5, TimeUnit.SECONDS)).isNotNull();
        assertThat(known.poll(5, TimeUnit.SECONDS)).isNotNull();
        store.mode(outage);
        Thread.sleep(OUTAGE_MS);
        put("servers", "s-2");
        known.clear();
        store.mode(FakeStore.Mode.NORMAL);
        long end = System.nanoTime() + Duration.ofMillis(CONTACT_MS).toNanos();
        boolean adopted = false;
        while (!adopted && System.nanoTime() < end) {
            adopted = "s-2".equals(known.poll(10, TimeUnit.MILLISECONDS));
        }
        assertThat(adopted).isTrue();
        assertThat(unanswered()).isLessThanOrEqualTo(6);
    }

    /** Guards against a debounce that does not batch: 30 changes in 3 s woke a watch after each 0.75 s. */
    @Test
    void aBurstOfRegistrationsWakesAWatchOnceInTheDebounceTime() throws InterruptedException {
        start();
        Thread.sleep(500);
        long startNanos = System.nanoTime();
        for (int i = 0; i < 30; i++) {
            put("servers", "s-" + i);
            Thread.sleep(100);
        }
        long burstMs = Duration.ofNanos(System.nanoTime() - startNanos).toMillis();
        Thread.sleep(1_500);
        assertThat(known).hasSize(30);
        assertThat(calls.counts().getOrDefault("servers.watch.changed", 0L)).isBetween(2L, burstMs / DEBOUNCE_MS + 2);
    }
}
