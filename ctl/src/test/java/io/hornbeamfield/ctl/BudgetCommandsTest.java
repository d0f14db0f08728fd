package io.hornbeamfield.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.budget.BudgetRecord;
import io.hornbeamfield.core.budget.HolderEntry;
import io.hornbeamfield.ctl.CtlFixture.Outcome;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.platform.VersionedValue;
import io.hornbeamfield.standins.platform.PlatformFaults;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against top-ups that count twice and releases that create tokens. */
class BudgetCommandsTest {
    private static final String STOPPED_HOLDER = "r1-00000001";
    private final CtlFixture ctl = new CtlFixture();

    @BeforeEach
    void applyCompleteDocument() {
        ctl.applyCompleteDocument();
    }

    @AfterEach
    void stop() {
        ctl.close();
    }

    private long free(String budget) {
        return ctl.run("budgets", "show", budget).json().path("free").asLong();
    }

    private void putHolder(String budget, HolderEntry entry) {
        VersionedValue stored = ctl.client.read("budgets/" + budget).join().orElseThrow();
        BudgetRecord record = Json.read(stored.value(), BudgetRecord.class).withHolder(STOPPED_HOLDER, entry);
        ctl.client.write(stored.key(), stored.version(), Json.tree(record)).join();
    }

    @Test
    void aRepeatedTopUpWithTheSameIdCountsOnce() {
        ctl.run("budgets", "topup", "plots", "500", "--id", "invoice-1");
        JsonNode again =
                ctl.run("budgets", "topup", "plots", "500", "--id", "invoice-1").json();
        assertThat(again.path("granted").asLong()).isEqualTo(1_500);
        Outcome other = ctl.run("budgets", "topup", "plots", "600", "--id", "invoice-1");
        assertThat(other.status()).isEqualTo(3);
        assertThat(other.err()).contains("1012 CONFLICT", "Use another --id");
        assertThat(free("plots")).isEqualTo(1_500);
    }

    @Test
    void aTopUpWhoseAnswerIsLostCountsOnce() {
        ctl.platform.inject(PlatformFaults.NONE.with(Json.tree(Map.of("loseAnswers", 1.0))));
        assertThat(ctl.run("budgets", "topup", "plots", "500").status()).isZero();
        ctl.platform.inject(PlatformFaults.NONE);
        assertThat(free("plots")).isEqualTo(1_500);
    }

    @Test
    void topUpsThatRaceAllCount() {
        CompletableFuture.allOf(IntStream.range(0, 8)
                        .mapToObj(i -> CompletableFuture.runAsync(() -> ctl.run("budgets", "topup", "plots", "10")))
                        .toArray(CompletableFuture[]::new))
                .join();
        assertThat(free("plots")).isEqualTo(1_080);
    }

    @Test
    void aReleaseReturnsWhatTheHolderDidNotSpend() {
        putHolder("plots", new HolderEntry(600, 0, 100, 0, 0));
        assertThat(free("plots")).isEqualTo(400);
        assertThat(ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "250")
                        .status())
                .isZero();
        assertThat(free("plots")).isEqualTo(750);
        assertThat(ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "250")
                        .status())
                .isEqualTo(4);
    }

    @Test
    void aReleaseCannotReturnMoreThanTheHolderReportedAsUnspent() {
        putHolder("plots", new HolderEntry(600, 0, 100, 50, 0));
        assertThat(ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "99")
                        .err())
                .contains("at most 550");
        assertThat(ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "551")
                        .status())
                .isEqualTo(2);
        assertThat(free("plots")).isEqualTo(400);
    }

    @Test
    void aHolderThatIsListedAsLiveIsNotReleasedWithoutForce() {
        putHolder("plots", new HolderEntry(600, 0, 100, 0, 0));
        ctl.platform.putInstance("r1", "router", "127.0.0.1:1", "a", "live");
        Outcome refused = ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "600");
        assertThat(refused.status()).isEqualTo(3);
        assertThat(refused.err()).contains("certainly gone");
        assertThat(ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "600", "--force")
                        .status())
                .isZero();
    }

    @Test
    void aHolderOfSeveralBudgetsIsReleasedBudgetByBudget() {
        putHolder("plots", new HolderEntry(600, 0, 100, 0, 0));
        putHolder("plots:seeds", new HolderEntry(0, 0, 0, 0, 40));
        assertThat(ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "600")
                        .err())
                .contains("2 budgets: plots, plots:seeds");
        assertThat(ctl.run("budgets", "release", "--holder", STOPPED_HOLDER, "--spent", "600", "--budget", "plots")
                        .status())
                .isZero();
    }
}
