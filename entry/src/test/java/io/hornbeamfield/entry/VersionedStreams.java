package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A fleet among whose servers several software versions serve, and the streams that break off there. */
final class VersionedStreams implements AutoCloseable {
    static final String OLD = "1.0";
    static final String NEW = "1.1";
    static final int TAKE_UPS = 8;

    final EntryFixture fleet = new EntryFixture();
    private final AtomicInteger attempts = new AtomicInteger();

    /** A stream that broke off, and the version of the server that began it. */
    record Begun(String attempt, String version) {}

    /**
     * Starts a server that breaks new streams off after their first event and ends those that go on. Its events name
     * its version. Among idle servers, new streams go to the one with the least id.
     */
    FakeBackendServer server(String id, String version) {
        FakeBackendServer server = fleet.versionedRunner(id, "model", version);
        server.respondWith(r -> {
            String last = r.header("Last-Event-Id");
            r.start(200, FakeBackendServer.signedHeaders(r));
            if (last == null) {
                r.write(event(1, version));
                new Thread(() -> cutSoon(r)).start();
            } else {
                r.write(event(Long.parseLong(last) + 1, version));
                r.end();
            }
        });
        return server;
    }

    private static byte[] event(long number, String version) {
        return ("id: " + number + "\ndata: " + piece(number, version) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String piece(long number, String version) {
        return "piece " + number + " by <" + version + ">";
    }

    private static void cutSoon(InboundRequest r) {
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        r.cut();
    }

    ReceivedAnswer send(int entry, String key, String... more) {
        List<String> headers = new ArrayList<>(List.of(
                "Authorization: Bearer " + key,
                "X-Attempt-Id: try-" + attempts.incrementAndGet(),
                EntryFixture.DEADLINE,
                "X-Token-Counts: 10,10"));
        headers.addAll(List.of(more));
        return ReceivedAnswer.of(Caller.send(fleet.address(entry), "POST", "/chat/x", headers.toArray(String[]::new))
                .all());
    }

    Begun begin(int entry) {
        ReceivedAnswer begun = send(entry, "key-1");
        assertThat(begun.body()).contains("piece 1").doesNotContain("piece 2");
        assertThat(begun.complete()).isFalse();
        String version = begun.body()
                .substring(begun.body().indexOf('<') + 1, begun.body().indexOf('>'));
        return new Begun("try-" + attempts.get(), version);
    }

    /** Begins streams until one is of the given version. */
    Begun begin(int entry, String version) {
        Begun begun = begin(entry);
        for (int i = 1; i < TAKE_UPS && !begun.version().equals(version); i++) {
            begun = begin(entry);
        }
        assertThat(begun.version()).isEqualTo(version);
        return begun;
    }

    ReceivedAnswer takeUp(int entry, Begun begun) {
        return takeUp(entry, begun.attempt());
    }

    ReceivedAnswer takeUp(int entry, String attempt) {
        return send(entry, "key-1", "Resumes: " + attempt, "Last-Event-Id: 1");
    }

    void assertGoesOnAt(int entry, Begun begun) {
        assertGoesOn(takeUp(entry, begun), begun);
    }

    static void assertGoesOn(ReceivedAnswer answer, Begun begun) {
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.complete()).isTrue();
        assertThat(answer.body()).contains(piece(2, begun.version()));
    }

    static long resumed(FakeBackendServer server) {
        return server.receivedRequests().stream()
                .filter(r -> r.header("Last-Event-Id") != null)
                .count();
    }

    static void assertRefused(ReceivedAnswer answer, int code) {
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.body()).contains("\"code\":" + code, "\"ran\":\"no\"");
    }

    void awaitServers(int number) {
        EntryFixture.await(() -> fleet.entries.stream()
                .allMatch(e -> e.blackboard().servers("model").size() == number
                        && e.blackboard().servers("model").stream()
                                .allMatch(s -> e.blackboard().mayBeginStream(s))));
    }

    void startTwo() {
        start(2);
    }

    void start(int instances) {
        start(instances, EventLog.none());
    }

    void start(int instances, EventLog log) {
        fleet.configure(1);
        for (int i = 0; i < instances; i++) {
            EntryProcess entry = fleet.start(i < instances - 1 ? log : EventLog.none());
            EntryFixture.await(() -> entry.blackboard().ready());
        }
        EntryFixture.await(() ->
                fleet.entries.stream().allMatch(e -> e.blackboard().members().size() == fleet.entries.size()));
    }

    /** Ends all instances, and returns the index of one that is started after that. */
    int killAllAndStartOne() {
        int next = fleet.entries.size();
        fleet.entries.forEach(EntryProcess::close);
        fleet.startReady();
        return next;
    }

    /** Waits until the instances are linked, so that a stream of one is known to the other within a short time. */
    void awaitThatTheOtherInstanceIsTold() {
        EntryFixture.await(() -> takeUp(1, begin(0)).status() == 200);
    }

    @Override
    public void close() {
        fleet.close();
    }
}
