package io.hornbeamfield.core.budget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the arithmetic of the budget record and its JSON form on the platform. */
class BudgetRecordTest {
    private final BudgetRecord record = new BudgetRecord(
            "plots", 1_000, Map.of("first", 1_000L), 0, Map.of("r1-00000001", new HolderEntry(400, 100, 50, 30, 10)));

    @Test
    void aRetriedTopUpIsAddedOnce() {
        BudgetRecord once = record.withTopUp("second", 500);
        assertThat(once.withTopUp("second", 500)).isSameAs(once);
        assertThat(once.granted()).isEqualTo(1_500);
        assertThatThrownBy(() -> record.withTopUp("third", 0)).hasMessageContaining("at least one token");
    }

    @Test
    void onlyTheNewestTopUpIdsAreKept() {
        BudgetRecord many = record;
        for (int i = 0; i < BudgetRecord.MAX_TOP_UPS; i++) {
            many = many.withTopUp("t" + i, 1);
        }
        assertThat(many.topUps()).hasSize(BudgetRecord.MAX_TOP_UPS).doesNotContainKey("first");
        assertThat(many.granted()).isEqualTo(1_256);
    }

    @Test
    void aReleaseKeepsOnlyWhatTheHolderUsedOrSentAway() {
        BudgetRecord released = record.withRelease("r1-00000001", 90);
        assertThat(released.folded()).isEqualTo(90 + 30 - 10);
        assertThat(released.free()).isEqualTo(890);
        assertThat(released.withRelease("r1-00000001", 90)).isSameAs(released);
    }

    @Test
    void aReleaseNeverCountsLessThanTheHolderRecorded() {
        assertThat(record.withRelease("r1-00000001", 0).folded()).isEqualTo(50 + 30 - 10);
    }

    @Test
    void theJsonFormHasTheFieldsOfTheDesignAndCanBeReadBack() throws Exception {
        var mapper = new ObjectMapper();
        String json = mapper.writeValueAsString(record);
        assertThat(json)
                .isEqualTo("{\"budget\":\"plots\",\"granted\":1000,\"topUps\":{\"first\":1000},\"folded\":0,"
                        + "\"holders\":{\"r1-00000001\":{\"taken\":400,\"returned\":100,\"spent\":50,\"sentOut\":30,"
                        + "\"receivedIn\":10}}}");
        assertThat(mapper.readValue(json, BudgetRecord.class)).isEqualTo(record);
    }
}
