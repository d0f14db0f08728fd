package io.hornbeamfield.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.hornbeamfield.core.discovery.OutageProbe;
import io.hornbeamfield.core.discovery.WatchPacing;
import io.hornbeamfield.core.discovery.WatchTiming;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.WatchResult;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StoreWatcherTest {
    private static final int PART_BYTES = 1_000;
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(3);
    private static final long PART_PAUSE_MS = 100;

    /** These parts take three times the timeout, and less than the one for lists. */
    private static final int LIST_PARTS = 10;

    private final HttpClient http = HttpClient.create("test");
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService calls = Executors.newCachedThreadPool();
    private final BlockingQueue<Long> listed = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> ages = new LinkedBlockingQueue<>();
    private final AtomicLong revision = new AtomicLong();
    private final AtomicInteger lists = new AtomicInteger();
    private HttpServer server;
    private volatile boolean listIsSlow;
    private volatile boolean listStalls;
    private volatile boolean historyIsGone;

    @BeforeEach
    void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(calls);
        server.createContext("/objects/config", this::respond);
        server.start();
    }

    @AfterEach
    void stop() {
        control.shutdownNow();
        calls.shutdownNow();
        http.close();
        server.stop(0);
    }

    /** Answers a list at once, and a watch with events that never all arrive. */
    private void respond(HttpExchange exchange) throws IOException {
        if (!String.valueOf(exchange.getRequestURI().getQuery()).contains("watch=")) {
            byte[] body = ("{\"items\":[],\"at\":" + revision.incrementAndGet() + "}").getBytes(StandardCharsets.UTF_8);
            lists.incrementAndGet();
            exchange.sendResponseHeaders(200, 0);
            if (listIsSlow) {
                writeSpaces(exchange);
            }
            if (!listStalls && !(historyIsGone && lists.get() > 1)) {
                exchange.getResponseBody().write(body);
                exchange.close();
            }
            return;
        }
        if (historyIsGone) {
            exchange.sendResponseHeaders(410, -1);
            exchange.close();
            return;
        }
        exchange.sendResponseHeaders(200, 0);
        try {
            while (true) {
                exchange.getResponseBody().write(new byte[PART_BYTES]);
                exchange.getResponseBody().flush();
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void writeSpaces(HttpExchange exchange) throws IOException {
        try {
            for (int i = 0; i < LIST_PARTS; i++) {
                exchange.getResponseBody().write(' ');
                exchange.getResponseBody().flush();
                Thread.sleep(PART_PAUSE_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class Lists implements StoreWatcher.Listener {
        @Override
        public void onList(StoreList list) {
            listed.add(list.revision().number());
        }

        @Override
        public void onChange(WatchResult.Change change) {
            throw new IllegalStateException("No event is complete.");
        }

        @Override
        public void onStoreLost(String reason) {
            // Expected after each watch.
        }

        @Override
        public void onStoreRecovered(long ageMs) {
            ages.add(ageMs);
        }
    }

    private void failOnProbe(Consumer<Boolean> onEnd) {
        throw new IllegalStateException("A small fleet does not probe.");
    }

    private void startWatcher() {
        String address = "127.0.0.1:" + server.getAddress().getPort();
        new StoreWatcher(
                        new StoreClient(http, address, TIMEOUT, LIST_TIMEOUT),
                        "config",
                        control,
                        EventLog.none(),
                        new Lists(),
                        new WatchPacing(
                                new WatchTiming(1_000, 1_000, TIMEOUT.toMillis()),
                                WatchPacing.Changes.SINGLE,
                                () -> false,
                                Math::random),
                        new OutageProbe(Clock.systemUTC(), this::failOnProbe, (ms, action) -> {}, Math::random),
                        StoreWatcher.CatchUp.LIST)
                .start();
    }

    /** Guards against a configuration that is not adopted because the events since the last one never arrive whole. */
    @Test
    void aWatchWhoseEventsDoNotArriveInTimeIsFollowedByAList() throws InterruptedException {
        startWatcher();
        assertThat(listed.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        assertThat(listed.poll(10, TimeUnit.SECONDS)).isEqualTo(2);
    }

    /** Guards against a configuration that is not adopted because its list is given up again and again. */
    @Test
    void aListThatKeepsArrivingIsNotGivenUp() throws InterruptedException {
        listIsSlow = true;
        startWatcher();
        assertThat(listed.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        assertThat(lists).hasValue(1);
    }

    /** Guards against a final refusal by a configuration that was current when its answer began to arrive only. */
    @Test
    void aListThatArrivesSlowlyConfirmsTheTimeAtWhichItBeganToArrive() throws InterruptedException {
        listIsSlow = true;
        startWatcher();
        long arrivalMs = (LIST_PARTS - 1) * PART_PAUSE_MS;
        assertThat(ages.poll(10, TimeUnit.SECONDS)).isBetween(arrivalMs, arrivalMs + LIST_TIMEOUT.toMillis());
    }

    /** Guards against a final refusal by a configuration that the store has not shown to be the current one. */
    @Test
    void anAnswerThatTheHistoryIsGoneConfirmsNothing() throws InterruptedException {
        historyIsGone = true;
        startWatcher();
        assertThat(ages.poll(10, TimeUnit.SECONDS)).isNotNull();
        while (lists.get() < 2) {
            Thread.sleep(PART_PAUSE_MS);
        }
        assertThat(ages).isEmpty();
    }

    @Test
    void aListThatStopsArrivingIsAskedForAgain() throws InterruptedException {
        listIsSlow = true;
        listStalls = true;
        startWatcher();
        while (lists.get() < 2) {
            Thread.sleep(PART_PAUSE_MS);
        }
        listStalls = false;
        assertThat(listed.poll(10, TimeUnit.SECONDS)).isNotNull();
    }
}
