package io.hornbeamfield.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.hornbeamfield.core.discovery.WatchTiming;
import io.hornbeamfield.entry.EventLog;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.platform.StoreClient;
import io.hornbeamfield.platform.StoreList;
import io.hornbeamfield.platform.WatchResult;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class StoreWatcherTest {
    private static final int PART_BYTES = 1_000;

    private final HttpClient http = HttpClient.create("test");
    private final ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor();
    private final ExecutorService calls = Executors.newCachedThreadPool();
    private final BlockingQueue<Long> listed = new LinkedBlockingQueue<>();
    private final AtomicLong revision = new AtomicLong();
    private HttpServer server;

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
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
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

    private final class Lists implements StoreWatcher.Listener {
        @Override
        public void onList(StoreList list) {
            listed.add(list.revision());
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
        public void onStoreRecovered() {
            // Expected after each list.
        }
    }

    /** Guards against a configuration that is not adopted because the events since the last one never arrive whole. */
    @Test
    void aWatchWhoseEventsDoNotArriveInTimeIsFollowedByAList() throws InterruptedException {
        StoreClient store =
                new StoreClient(http, "127.0.0.1:" + server.getAddress().getPort(), Duration.ofMillis(300));
        new StoreWatcher(
                        store,
                        "config",
                        control,
                        EventLog.none(),
                        new Lists(),
                        new WatchTiming(1_000, 1_000, 300),
                        () -> false,
                        StoreWatcher.CatchUp.LIST)
                .start();
        assertThat(listed.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        assertThat(listed.poll(10, TimeUnit.SECONDS)).isEqualTo(2);
    }
}
