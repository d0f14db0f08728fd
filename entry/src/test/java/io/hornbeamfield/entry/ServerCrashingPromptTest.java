package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.platform.standin.FakeStore;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that share a part of their prompt and crash one backend server after the other, sent by
 * instances of which each one sees only some of the crashes.
 */
final class ServerCrashingPromptTest {
    private static final String CRASHING_PART = "crash";
    private static final int ENGINES = 4;
    private static final int CRASHES_BEFORE_THE_BOUND = 5;
    private static final int MAX_REQUESTS_AFTER_THE_BOUND = 3;
    private static final long CONTACT_MS = 3_000;

    private final EntryFixture fleet = new EntryFixture();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger engineNumber = new AtomicInteger();
    private final AtomicInteger requestNumber = new AtomicInteger();
    private final List<FakeBackendServer> crashed = new ArrayList<>();

    @BeforeEach
    void start() {
        for (int i = 0; i < ENGINES; i++) {
            startEngine();
        }
        fleet.configure(1);
        for (int i = 0; i < 3; i++) {
            fleet.startReady();
        }
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void startEngine() {
        FakeBackendServer engine = fleet.runner("i-" + engineNumber.incrementAndGet(), "model");
        engine.respondWith(r -> respond(engine, r));
    }

    private void respond(FakeBackendServer engine, InboundRequest r) {
        if (String.valueOf(r.header("X-Prompt-Prefix")).contains(CRASHING_PART)) {
            crashes.incrementAndGet();
            synchronized (crashed) {
                crashed.add(engine);
            }
            new Thread(engine::close).start();
            return;
        }
        r.start(200, FakeBackendServer.signedHeaders(r));
        r.write(FakeBackendServer.event(1));
        r.end();
    }

    /** Removes the registrations of crashed engines and starts as many new ones. */
    private void replaceCrashedEngines() {
        synchronized (crashed) {
            crashed.forEach(e -> {
                fleet.store.remove("servers", e.id());
                startEngine();
            });
            crashed.clear();
        }
    }

    private String send(int instance, String sharedParts) throws InterruptedException {
        int number = requestNumber.incrementAndGet();
        try (Caller caller = Caller.send(
                fleet.address(instance),
                "POST",
                "/report/x",
                EntryFixture.KEY,
                "X-Attempt-Id: r" + number,
                EntryFixture.DEADLINE,
                "X-Token-Counts: 10,10",
                "X-Prompt-Prefix: " + sharedParts + ",own" + number + ":5")) {
            String answer = caller.all();
            Thread.sleep(50);
            replaceCrashedEngines();
            return answer;
        }
    }

    private String sendCrashing(int instance) throws InterruptedException {
        return send(instance, "rules:5,plot7:5," + CRASHING_PART + ":5");
    }

    @Test
    void aPartThatCrashesServersStopsReachingThemFromAnyInstance() throws InterruptedException {
        for (int i = 0; i < CRASHES_BEFORE_THE_BOUND; i++) {
            sendCrashing(i % 3);
        }
        Thread.sleep(CONTACT_MS);
        int before = crashes.get();
        fleet.startReady();
        Thread.sleep(CONTACT_MS);
        for (int i = 0; i < 12; i++) {
            sendCrashing(i % 4);
        }
        assertThat(crashes.get() - before).isLessThanOrEqualTo(MAX_REQUESTS_AFTER_THE_BOUND);
    }

    @Test
    void anInstanceThatHasJustStartedServesNoPromptsBeforeItKnowsWhichOnesCrashServers() throws InterruptedException {
        for (int i = 0; i < CRASHES_BEFORE_THE_BOUND; i++) {
            sendCrashing(i % 3);
        }
        int before = crashes.get();
        fleet.store.leaveListsUnanswered("crashes");
        EntryProcess started = fleet.start();
        EntryFixture.await(() -> started.blackboard().serversKnown()
                && started.blackboard().config().isPresent());
        assertThat(sendCrashing(3)).startsWith("HTTP/1.1 503");
        assertThat(started.blackboard().ready()).isFalse();
        fleet.store.leaveListsUnanswered("");
        EntryFixture.await(() -> started.blackboard().ready());
        assertThat(sendCrashing(3)).startsWith("HTTP/1.1 503").contains("\"code\":3008");
        assertThat(send(3, "rules:5")).startsWith("HTTP/1.1 200");
        assertThat(crashes.get()).isEqualTo(before);
    }

    /** Guards against a quarantine that ends when the store comes back from a copy without the reports of others. */
    @Test
    void aRestoredStoreWithoutReportsOfCrashesEndsNoQuarantine() throws InterruptedException {
        FakeStore.Copy copy = fleet.store.copy();
        for (int i = 0; i < CRASHES_BEFORE_THE_BOUND; i++) {
            sendCrashing(0);
        }
        EntryProcess other = fleet.entries.get(2);
        EntryFixture.await(() -> !other.blackboard().quarantine().culprits().isEmpty());
        fleet.store.restore(copy, "config", "servers");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * CONTACT_MS);
        while (System.nanoTime() < end) {
            assertThat(other.blackboard().quarantine().culprits()).isNotEmpty();
            Thread.sleep(10);
        }
        assertThat(fleet.store.content("crashes", "entry-0").isMissingNode()).isFalse();
    }

    @Test
    void requestsThatShareTheOtherPartsOfACrashingOneAreServed() throws InterruptedException {
        for (int i = 0; i < CRASHES_BEFORE_THE_BOUND; i++) {
            sendCrashing(i % 3);
        }
        Thread.sleep(CONTACT_MS);
        for (int i = 0; i < 6; i++) {
            assertThat(send(i % 3, "rules:5,plot7:5")).startsWith("HTTP/1.1 200");
            assertThat(send(i % 3, "rules:5")).startsWith("HTTP/1.1 200");
        }
    }
}
