package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that were accepted during a planned stop and cut off without an answer. */
final class PlannedStopTest {
    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void duringAPlannedStopUnderLoadEveryRequestThatReachedAServerIsAnswered() throws InterruptedException {
        FakeBackendServer runner = fleet.runner("i-1", "plain");
        runner.respondWith(r -> CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS)
                .execute(() -> FakeBackendServer.answer(r, 200, "done by i-1")));
        fleet.configure(1);
        EntryProcess entry = fleet.startReady();
        Map<String, String> answers = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String prefix = "caller" + i + "-";
            callers.add(new Thread(() -> callUntilClosed(prefix, answers)));
        }
        callers.forEach(Thread::start);
        Thread.sleep(500);
        entry.shutDown().orTimeout(10, TimeUnit.SECONDS).join();
        entry.close();
        for (Thread t : callers) {
            t.join(10_000);
        }
        assertThat(runner.receivedRequests())
                .hasSizeGreaterThan(100)
                .allSatisfy(r -> assertThat(answers.get(String.valueOf(r.header("X-Attempt-Id"))))
                        .startsWith("HTTP/1.1 200")
                        .endsWith("done by i-1"));
        assertThat(answers.values()).anyMatch(a -> a.startsWith("HTTP/1.1 503"));
    }

    private void callUntilClosed(String prefix, Map<String, String> answers) {
        try {
            for (int i = 0; ; i++) {
                String id = prefix + i;
                String all = Caller.send(
                                fleet.address(0),
                                "POST",
                                "/write/x",
                                EntryFixture.KEY,
                                EntryFixture.DEADLINE,
                                "X-Attempt-Id: " + id)
                        .all();
                answers.put(id, all);
                if (!all.startsWith("HTTP/1.1 ")) {
                    return;
                }
            }
        } catch (UncheckedIOException e) {
            // The daemon accepts no connection any more.
        }
    }
}
