package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.Header;
import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.platform.standin.FakeStore;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that are joined from the events of servers of two software versions. */
final class StreamsOfTwoVersionsTest {
    private static final String OLD = "1.0";
    private static final String NEW = "1.1";
    private static final int TAKE_UPS = 8;

    private final EntryFixture fleet = new EntryFixture();
    private final AtomicInteger attempts = new AtomicInteger();

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** A stream that broke off, and the version of the server that began it. */
    private record Begun(String attempt, String version) {}

    /**
     * Starts a server that breaks new streams off after their first event and ends those that go on. Its events name
     * its version. Among idle servers, new streams go to the one with the least id.
     */
    private FakeBackendServer server(String id, String version) {
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

    private ReceivedAnswer send(int entry, String key, String... more) {
        List<String> headers = new ArrayList<>(List.of(
                "Authorization: Bearer " + key,
                "X-Attempt-Id: try-" + attempts.incrementAndGet(),
                EntryFixture.DEADLINE,
                "X-Token-Counts: 10,10"));
        headers.addAll(List.of(more));
        return ReceivedAnswer.of(Caller.send(fleet.address(entry), "POST", "/chat/x", headers.toArray(String[]::new))
                .all());
    }

    private Begun begin(int entry) {
        ReceivedAnswer begun = send(entry, "key-1");
        assertThat(begun.body()).contains("piece 1").doesNotContain("piece 2");
        assertThat(begun.complete()).isFalse();
        String version = begun.body().substring(begun.body().indexOf('<') + 1, begun.body().indexOf('>'));
        return new Begun("try-" + attempts.get(), version);
    }

    /** Begins streams until one is of the given version. */
    private Begun begin(int entry, String version) {
        Begun begun = begin(entry);
        for (int i = 1; i < TAKE_UPS && !begun.version().equals(version); i++) {
            begun = begin(entry);
        }
        assertThat(begun.version()).isEqualTo(version);
        return begun;
    }

    private ReceivedAnswer takeUp(int entry, Begun begun) {
        return takeUp(entry, begun.attempt());
    }

    private ReceivedAnswer takeUp(int entry, String attempt) {
        return send(entry, "key-1", "Resumes: " + attempt, "Last-Event-Id: 1");
    }

    private void assertGoesOnAt(int entry, Begun begun) {
        assertGoesOn(takeUp(entry, begun), begun);
    }

    private static void assertGoesOn(ReceivedAnswer answer, Begun begun) {
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.complete()).isTrue();
        assertThat(answer.body()).contains(piece(2, begun.version()));
    }

    private static long resumed(FakeBackendServer server) {
        return server.receivedRequests().stream()
                .filter(r -> r.header("Last-Event-Id") != null)
                .count();
    }

    private static void assertRefused(ReceivedAnswer answer, int code) {
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.body()).contains("\"code\":" + code, "\"ran\":\"no\"");
    }

    private void awaitServers(int number) {
        EntryFixture.await(() -> fleet.entries.stream()
                .allMatch(e -> e.blackboard().servers("model").size() == number
                        && e.blackboard().servers("model").stream()
                                .allMatch(s -> e.blackboard().mayBeginStream(s))));
    }

    private void startTwo() {
        start(2);
    }

    private void start(int instances) {
        start(instances, EventLog.none());
    }

    private void start(int instances, EventLog log) {
        fleet.configure(1);
        for (int i = 0; i < instances; i++) {
            EntryProcess entry = fleet.start(i < instances - 1 ? log : EventLog.none());
            EntryFixture.await(() -> entry.blackboard().ready());
        }
        EntryFixture.await(() ->
                fleet.entries.stream().allMatch(e -> e.blackboard().members().size() == fleet.entries.size()));
    }

    /** Ends all instances, and returns the index of one that is started after that. */
    private int killAllAndStartOne() {
        int next = fleet.entries.size();
        fleet.entries.forEach(EntryProcess::close);
        fleet.startReady();
        return next;
    }

    @Test
    void aStreamThatBreaksOffWithinAnAnswerGoesOnAtItsVersionOnly() {
        FakeBackendServer first = server("i-1", OLD);
        FakeBackendServer second = server("i-2", OLD);
        FakeBackendServer other = server("i-3", NEW);
        fleet.configure(1);
        fleet.startReady();
        awaitServers(3);
        int complete = 0;
        for (int i = 0; i < 3 * TAKE_UPS; i++) {
            complete += send(0, "key-1").complete() ? 1 : 0;
        }
        assertThat(resumed(other)).isZero();
        assertThat(resumed(first) + resumed(second)).isEqualTo(complete).isPositive();
    }

    @Test
    void aStreamThatBreaksOffWithoutAnotherServerOfItsVersionIsCut() {
        FakeBackendServer old = server("i-8", OLD);
        FakeBackendServer other = server("i-1", NEW);
        fleet.configure(1);
        fleet.startReady();
        awaitServers(2);
        for (int i = 0; i < TAKE_UPS; i++) {
            begin(0);
        }
        assertThat(resumed(old) + resumed(other)).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aStreamThatIsTakenUpGoesOnAtItsVersionAtEachInstance(int instance) {
        FakeBackendServer old = server("i-8", OLD);
        startTwo();
        Begun begun = begin(0);
        FakeBackendServer other = server("i-1", NEW);
        FakeBackendServer another = server("i-2", NEW);
        awaitServers(3);
        for (int i = 0; i < TAKE_UPS; i++) {
            assertGoesOnAt(instance, begun);
        }
        assertThat(resumed(old)).isEqualTo(TAKE_UPS);
        assertThat(resumed(other) + resumed(another)).isZero();
    }

    @Test
    void aStreamGoesOnAtItsVersionAtAnInstanceThatHasJustStarted() {
        server("i-1", OLD);
        server("i-8", NEW);
        startTwo();
        awaitServers(2);
        Begun begun = begin(0, OLD);
        server("i-0", NEW);
        fleet.startReady();
        awaitServers(3);
        assertGoesOnAt(2, begun);
        assertRefused(takeUp(2, "forged"), 3009);
    }

    /** Waits until the instances are linked, so that a stream of one is known to the other within a short time. */
    private void awaitThatTheOtherInstanceIsTold() {
        EntryFixture.await(() -> takeUp(1, begin(0)).status() == 200);
    }

    @Test
    void aStreamGoesOnAtItsVersionAfterItsInstanceWasLostAlsoWhileTheStoreIsSilent() throws InterruptedException {
        server("i-1", OLD);
        server("i-8", NEW);
        startTwo();
        awaitServers(2);
        awaitThatTheOtherInstanceIsTold();
        Begun begun = begin(0, OLD);
        server("i-0", NEW);
        awaitServers(3);
        // The other instance is told within this time.
        Thread.sleep(500);
        fleet.entries.get(0).close();
        fleet.store.mode(FakeStore.Mode.SILENT);
        assertGoesOnAt(1, begun);
    }

    @Test
    void afterAKillOfAllAStreamGoesOnIfOneVersionServes() {
        FakeBackendServer old = server("i-8", OLD);
        startTwo();
        Begun begun = begin(0);
        assertGoesOnAt(killAllAndStartOne(), begun);
        assertThat(resumed(old)).isEqualTo(1);
    }

    /**
     * Guards against a fleet that refuses to continue all streams after a kill of all, though their servers are there.
     */
    @Test
    void afterAKillOfAllAmongTwoVersionsAStreamGoesOnAtItsVersion() throws InterruptedException {
        server("i-1", OLD);
        server("i-8", NEW);
        startTwo();
        awaitServers(2);
        awaitThatTheOtherInstanceIsTold();
        Begun begun = begin(1, OLD);
        // The store is told within this time.
        Thread.sleep(1_500);
        server("i-0", NEW);
        awaitServers(3);
        int started = killAllAndStartOne();
        assertGoesOnAt(started, begun);
        assertRefused(takeUp(started, "forged"), 3009);
    }

    /** Guards against an instance that reads only at its start what the others have kept in the store. */
    @Test
    void aStreamGoesOnAtAnInstanceThatDidNotKnowItAfterAllOthersWereLost() throws InterruptedException {
        server("i-1", OLD);
        server("i-8", NEW);
        start(4);
        List<Begun> begun = beginSeveral();
        fleet.entries.subList(0, 3).forEach(EntryProcess::close);
        begun.forEach(stream -> assertGoesOnAt(3, stream));
        assertRefused(takeUp(3, "forged"), 3009);
    }

    /** Begins streams of the old version at the first instance that the store keeps too. */
    private List<Begun> beginSeveral() throws InterruptedException {
        awaitServers(2);
        awaitThatTheOtherInstanceIsTold();
        List<Begun> begun = new ArrayList<>();
        for (int i = 0; i < TAKE_UPS; i++) {
            begun.add(begin(0, OLD));
        }
        server("i-0", NEW);
        awaitServers(3);
        // The store is told within this time.
        Thread.sleep(1_500);
        return begun;
    }

    @Test
    void aStreamGoesOnAtAnInstanceThatDidNotKnowItWhileAllOthersAreSilent() throws InterruptedException {
        server("i-1", OLD);
        server("i-8", NEW);
        CountDownLatch heldUp = new CountDownLatch(3);
        CountDownLatch released = new CountDownLatch(1);
        start(4, new ObservedLog(line -> {
            if (line.contains("i-held-up")) {
                heldUp.countDown();
                awaitUninterrupted(released);
            }
        }));
        List<Begun> begun = beginSeveral();
        fleet.versionedRunner("i-held-up", "plain", "");
        awaitUninterrupted(heldUp);
        try {
            begun.forEach(stream -> assertGoesOnAt(3, stream));
        } finally {
            released.countDown();
        }
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            assertThat(latch.await(20, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void afterAKillOfAllAStreamOfAVersionThatHasLeftIsRefusedAndANewOneBegins(boolean kept) {
        server("i-8", OLD);
        startTwo();
        Begun begun = begin(0);
        FakeBackendServer other = server("i-1", NEW);
        awaitServers(2);
        fleet.store.remove("servers", "i-8");
        awaitServers(1);
        EntryFixture.await(
                () -> !fleet.store.content("stream-origins", "entry-0.1").isMissingNode());
        fleet.entries.forEach(EntryProcess::close);
        if (!kept) {
            fleet.store.remove("stream-origins", "entry-0.1");
        }
        int started = killAllAndStartOne();
        assertRefused(takeUp(started, begun), kept ? 3004 : 3009);
        assertThat(resumed(other)).isZero();
        begin(started);
    }

    @Test
    void aStreamOfAVersionWithoutServersIsRefusedAtOnceAndServedLater() {
        server("i-8", OLD);
        startTwo();
        Begun begun = begin(0);
        FakeBackendServer other = server("i-1", NEW);
        awaitServers(2);
        fleet.store.remove("servers", "i-8");
        awaitServers(1);
        long startNs = System.nanoTime();
        ReceivedAnswer refused = takeUp(1, begun);
        assertThat(System.nanoTime() - startNs).isLessThan(1_000_000_000L);
        assertRefused(refused, 3004);
        assertThat(Header.find(refused.headers(), "Retry-After")).isPresent();
        assertThat(resumed(other)).isZero();
        FakeBackendServer again = server("i-9", OLD);
        awaitServers(2);
        assertGoesOnAt(1, begun);
        assertThat(resumed(again)).isEqualTo(1);
    }

    @Test
    void aServerThatReturnsUnderItsIdWithAnotherVersionGetsNoStreamOfItsEarlierOne() {
        FakeBackendServer server = server("i-8", OLD);
        startTwo();
        Begun begun = begin(0);
        server.version(NEW);
        server.register(fleet.store, false);
        EntryFixture.await(() -> fleet.entries.stream()
                .allMatch(e -> e.blackboard().servers("model").get(0).version().equals(NEW)
                        && e.blackboard()
                                .mayBeginStream(e.blackboard().servers("model").get(0))));
        assertRefused(takeUp(0, begun), 3004);
        assertRefused(takeUp(1, begun), 3004);
        assertThat(resumed(server)).isZero();
    }

    @Test
    void anIdThatIsUnknownOrAnotherWorkspacesOpensNoStream() {
        server("i-8", OLD);
        server("i-1", NEW);
        fleet.store.put("config", "main", fleet.configOfTwoWorkspaces(1));
        fleet.startReady();
        awaitServers(2);
        Begun begun = begin(0);
        assertGoesOnAt(0, begun);
        assertRefused(send(0, "key-2", "Resumes: " + begun.attempt(), "Last-Event-Id: 1"), 3009);
        assertRefused(takeUp(0, "forged"), 3009);
        assertRefused(send(0, "key-1", "Last-Event-Id: 1"), 3009);
        assertRefused(send(0, "key-1", "Resumes: " + "x".repeat(10_000), "Last-Event-Id: 1"), 3009);
    }

    @Test
    void aRecordOfVersionsThatWasDeletedIsWrittenAgain() {
        server("i-8", OLD);
        startTwo();
        Begun begun = begin(0);
        fleet.store.remove("stream-versions", "record");
        assertRefused(takeUp(1, "forged"), 3009);
        EntryFixture.await(
                () -> !fleet.store.content("stream-versions", "record").isMissingNode());
        assertGoesOnAt(killAllAndStartOne(), begun);
    }

    @Test
    void aFleetWhoseServersNameNoVersionResumesAsBefore() {
        FakeBackendServer server = server("i-1", "");
        startTwo();
        Begun begun = begin(0);
        int started = killAllAndStartOne();
        assertGoesOnAt(started, begun);
        assertGoesOn(send(started, "key-1", "Last-Event-Id: 1"), begun);
        assertThat(resumed(server)).isEqualTo(2);
    }
}
