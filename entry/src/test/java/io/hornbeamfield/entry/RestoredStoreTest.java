package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import io.hornbeamfield.platform.standin.FakeStore;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against instances that take a store that came back from an older copy for the one they knew. */
final class RestoredStoreTest {
    private static final String TOKENS = "X-Token-Counts: 90,10";
    private static final int TOTAL = 1_000;

    /** What a request with {@link #TOKENS} uses: its prompt and one event. */
    private static final int USED = 91;

    /** Time within which a change must be in force, in milliseconds. */
    private static final long ADOPTION_MS = 2_000;

    /** Longer than instances and operators take to write again what a copy lacks, in milliseconds. */
    private static final long REWRITE_MS = 6_000;

    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    private static JsonNode value(long number) {
        return Json.mapper().createObjectNode().put("value", number);
    }

    private void startServing() {
        startServing(EventLog.none());
    }

    private void startServing(EventLog log) {
        // Requests wait for tokens during half of the objective.
        fleet.objectiveMs(4_000);
        FakeBackendServer server = fleet.runner("i-1", "model");
        server.respondWith(r -> {
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
            r.end();
        });
        fleet.configure(1);
        EntryProcess entry = fleet.start(log);
        EntryFixture.await(
                () -> entry.blackboard().ready() && entry.blackboard().membersKnown());
    }

    private int serve(int entry, int requests) {
        int served = 0;
        for (int i = 0; i < requests; i++) {
            int status = Caller.send(
                            fleet.address(entry),
                            "POST",
                            "/report/x",
                            EntryFixture.KEY,
                            EntryFixture.ID,
                            EntryFixture.DEADLINE,
                            TOKENS)
                    .status();
            served += status == 200 ? 1 : 0;
        }
        return served;
    }

    private long configVersion() {
        return fleet.entries.get(0).blackboard().config().orElseThrow().version();
    }

    @Test
    void aConfigurationIsNotLeftForTheOlderOneOfTheCopy() throws InterruptedException {
        startServing();
        FakeStore.Copy copy = fleet.store.copy();
        fleet.configure(2);
        EntryFixture.await(() -> configVersion() == 2);
        fleet.store.restore(copy);
        Thread.sleep(ADOPTION_MS);
        assertThat(configVersion()).isEqualTo(2);
        fleet.configure(3);
        EntryFixture.await(() -> configVersion() == 3);
    }

    @Test
    void aConfigurationUnderARevisionThatIsGivenOutAgainIsAdoptedInTime() throws InterruptedException {
        startServing();
        FakeStore.Copy copy = fleet.store.copy();
        writeOthers(5);
        fleet.configure(2);
        EntryFixture.await(() -> configVersion() == 2);
        fleet.store.mode(FakeStore.Mode.UNAVAILABLE);
        fleet.store.restore(copy, "config");
        fleet.configure(3);
        writeOthers(20);
        fleet.store.mode(FakeStore.Mode.NORMAL);
        Thread.sleep(ADOPTION_MS);
        assertThat(configVersion()).isEqualTo(3);
    }

    private void writeOthers(int number) {
        for (int i = 0; i < number; i++) {
            fleet.store.put("others", "one", value(i));
        }
    }

    /** Guards against a watch from a revision that has been given out again, which misses what was written before. */
    @Test
    void aServerThatRegistersUnderARevisionThatIsGivenOutAgainIsUsed() throws InterruptedException {
        startServing();
        FakeStore.Copy copy = fleet.store.copy();
        writeOthers(20);
        fleet.runner("i-2", "model");
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("model").size() == 2);
        fleet.store.mode(FakeStore.Mode.UNAVAILABLE);
        fleet.store.restore(copy, "servers");
        fleet.runner("i-3", "model");
        writeOthers(40);
        fleet.store.mode(FakeStore.Mode.NORMAL);
        Thread.sleep(ADOPTION_MS);
        assertThat(fleet.entries.get(0).blackboard().servers("model")).hasSize(3);
    }

    /** Guards against tokens that are taken again because the copy does not show who has taken them. */
    @Test
    void tokensWhoseTakeIsLostAreNotSpentTwice() {
        fleet.prepaid(TOTAL);
        startServing();
        FakeStore.Copy copy = fleet.store.copy();
        int served = serve(0, 5);
        assertThat(served).isEqualTo(5);
        fleet.store.restore(copy);
        fleet.startReady();
        served += serve(1, 15);
        served += serve(0, 15);
        assertThat(served * USED).isLessThanOrEqualTo(TOTAL);
    }

    /** Guards against a holder whose tokens the copy gives to nobody and that goes on spending them. */
    @Test
    void tokensThatAHolderKeepsWhileItsTakeIsLostAreNotTakenByOthers() {
        fleet.prepaid(TOTAL);
        FakeStore.Copy empty = fleet.store.copy();
        startServing();
        int served = serve(0, 1);
        EntryFixture.await(() -> !fleet.store.content("prepaid", "ledger").isMissingNode());
        fleet.store.restore(empty, "config", "servers");
        fleet.startReady();
        served += serve(1, 15);
        served += serve(0, 15);
        assertThat(served * USED).isLessThanOrEqualTo(TOTAL);
    }

    @Test
    void theLogTellsFromWhenUntilWhenNoTokensAreTaken() {
        ObservedLog log = new ObservedLog(line -> {});
        startServing(log);
        FakeStore.Copy copy = fleet.store.copy();
        assertThat(serve(0, 1)).isEqualTo(1);
        fleet.store.restore(copy);
        EntryFixture.await(() -> log.lines().stream()
                .anyMatch(l -> l.contains("\"prepaid-ledger-settled\"") && l.contains("\"era\":2")));
        assertThat(log.lines())
                .anyMatch(l -> l.contains("\"prepaid-ledger-restored\"") && l.contains("\"ledgerEra\":1"));
    }

    /** Guards against instances that are not named to callers until they have registered again. */
    @Test
    void instancesWhoseRegistrationsAreLostStayMembers() throws InterruptedException {
        FakeStore.Copy empty = fleet.store.copy();
        startServing();
        fleet.startReady();
        EntryFixture.await(() -> fleet.entries.stream()
                .allMatch(e -> e.blackboard().membersKnown()
                        && e.blackboard().members().size() == 2));
        fleet.store.restore(empty, "config", "servers");
        assertThroughout(() ->
                fleet.entries.stream().allMatch(e -> e.blackboard().members().size() == 2));
        assertThat(fleet.store.content("entries", "entry-0").isMissingNode()).isFalse();
        assertThat(fleet.store.content("entries", "entry-1").isMissingNode()).isFalse();
    }

    /** Guards against an instance that is looked for under the address of its earlier incarnation. */
    @Test
    void anInstanceWhoseRegistrationIsOlderInTheCopyRegistersAgain() {
        ObjectNode earlier = Json.mapper().createObjectNode();
        earlier.put("name", "entry-0").put("zone", "north").put("callerAddress", "127.0.0.1:1");
        earlier.put("readinessAddress", "127.0.0.1:1").put("peerAddress", "127.0.0.1:1");
        fleet.store.put("entries", "entry-0", earlier);
        FakeStore.Copy copy = fleet.store.copy();
        startServing();
        JsonNode registered = fleet.store.content("entries", "entry-0");
        assertThat(registered).isNotEqualTo(earlier);
        fleet.store.restore(copy, "config", "servers");
        EntryFixture.await(() -> fleet.store.content("entries", "entry-0").equals(registered));
    }

    /** Asserts that a condition holds while entries that the copy lacks are written again. */
    private static void assertThroughout(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REWRITE_MS);
        while (System.nanoTime() < end) {
            assertThat(condition.getAsBoolean()).isTrue();
            Thread.sleep(10);
        }
    }

    /** Guards against requests to a zone whose evacuation the copy lacks. */
    @Test
    void anEvacuationThatTheCopyLacksGoesOnUntilItIsWrittenAgain() throws InterruptedException {
        fleet.deployment("{\"evacuationAdoptionMs\":5000}");
        startServing();
        fleet.runner("i-2", "model", "south");
        EntryFixture.await(() -> servers() == 2);
        FakeStore.Copy copy = fleet.store.copy();
        fleet.store.put("evacuations", "south", Json.mapper().createObjectNode());
        EntryFixture.await(() -> servers() == 1);
        fleet.store.restore(copy);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (System.nanoTime() < end) {
            assertThat(servers()).isEqualTo(1);
            Thread.sleep(10);
        }
        fleet.store.put("evacuations", "south", Json.mapper().createObjectNode());
        assertThroughout(() -> servers() == 1);
        fleet.store.remove("evacuations", "south");
        EntryFixture.await(() -> servers() == 2);
    }

    /** Guards against an evacuation that nobody has asked for any more. */
    @Test
    void anEvacuationThatIsNotWrittenAgainEnds() {
        fleet.deployment("{\"evacuationAdoptionMs\":5000}");
        startServing();
        fleet.runner("i-2", "model", "south");
        EntryFixture.await(() -> servers() == 2);
        FakeStore.Copy copy = fleet.store.copy();
        fleet.store.put("evacuations", "south", Json.mapper().createObjectNode());
        EntryFixture.await(() -> servers() == 1);
        fleet.store.restore(copy);
        EntryFixture.await(() -> servers() == 2);
    }

    /** Guards against a server that gets no requests until it has registered again, although it is there. */
    @Test
    void aServerWhoseRegistrationIsLostIsUsedWhileItMayRegisterAgain() throws InterruptedException {
        startServing();
        FakeStore.Copy copy = fleet.store.copy();
        FakeBackendServer lost = fleet.runner("i-2", "model");
        EntryFixture.await(() -> servers() == 2);
        int lists = fleet.store.reads("servers");
        fleet.store.mode(FakeStore.Mode.SILENT);
        fleet.store.restore(copy);
        fleet.store.mode(FakeStore.Mode.NORMAL);
        EntryFixture.await(() -> fleet.store.reads("servers") > lists + 1);
        assertThat(servers()).isEqualTo(2);
        lost.register(fleet.store, false);
        assertThroughout(() -> servers() == 2);
    }

    private int servers() {
        return fleet.entries.get(0).blackboard().servers("model").size();
    }

    @Test
    void aRestoredStoreIsReadAndServesRequests() {
        startServing();
        FakeStore.Copy copy = fleet.store.copy();
        assertThat(serve(0, 3)).isEqualTo(3);
        fleet.store.restore(copy, "config", "servers");
        assertThat(serve(0, 3)).isEqualTo(3);
        assertThat(new String(Json.bytes(fleet.store.content("config", "main")), StandardCharsets.UTF_8))
                .contains("\"version\":1");
    }
}
