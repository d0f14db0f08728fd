package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.prepaid.PrepaidLedger;
import io.hornbeamfield.entry.control.LedgerJson;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against tokens that a starting daemon takes from a total before it knows what others have taken of it. */
final class PrepaidStartTest {
    private static final long TOTAL = 1_000;
    private static final String TOKENS = "X-Token-Counts: 90,10";
    private static final String OTHER_HOLDER = "other/1";

    private final EntryFixture fleet = new EntryFixture();

    @BeforeEach
    void prepare() {
        fleet.prepaid(TOTAL);
        fleet.runner("i-1", "model").respondWith(r -> {
            r.start(200, FakeBackendServer.signedHeaders(r));
            r.write(FakeBackendServer.event(1));
            r.end();
        });
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void putLedger(long taken) {
        fleet.store.put(
                "prepaid", "ledger", LedgerJson.write(PrepaidLedger.empty().with("plots", OTHER_HOLDER, taken)));
    }

    private long taken() {
        JsonNode ledger = fleet.store.content("prepaid", "ledger");
        return LedgerJson.read(ledger).totalTaken("plots");
    }

    private int call() {
        return fleet.call("POST", "/report/x", TOKENS).status();
    }

    private void awaitLedgerRead() throws InterruptedException {
        EntryFixture.await(() -> fleet.store.reads("prepaid") > 0);
        // The answer is handled after the store has counted the call.
        TimeUnit.MILLISECONDS.sleep(300);
    }

    @Test
    void aLedgerThatIsReadBeforeTheFirstConfigurationCounts() throws InterruptedException {
        putLedger(TOTAL);
        fleet.start();
        awaitLedgerRead();
        fleet.configure(1);
        EntryFixture.await(() -> fleet.entries.get(0).blackboard().ready());
        assertThat(call()).isEqualTo(402);
        assertThat(taken()).isEqualTo(TOTAL);
    }

    @Test
    void nothingIsTakenWhileTheLedgerCannotBeRead() throws InterruptedException {
        fleet.store.put("prepaid", "ledger", Json.mapper().createObjectNode().put("taken", "none"));
        fleet.configure(1);
        fleet.startReady();
        awaitLedgerRead();
        assertThat(call()).isEqualTo(429);
        assertThat(fleet.store.content("prepaid", "ledger").path("taken").asText())
                .isEqualTo("none");
        putLedger(0);
        EntryFixture.await(() -> call() == 200);
        assertThat(taken()).isPositive().isLessThanOrEqualTo(TOTAL);
    }
}
