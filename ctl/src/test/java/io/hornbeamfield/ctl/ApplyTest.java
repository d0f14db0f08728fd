package io.hornbeamfield.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.ctl.CtlFixture.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against documents that change fields they do not contain and initial grants that are added twice. */
class ApplyTest {
    private final CtlFixture ctl = new CtlFixture();

    @BeforeEach
    void applyCompleteDocument() {
        assertThat(ctl.applyCompleteDocument().status()).isZero();
    }

    @AfterEach
    void stop() {
        ctl.close();
    }

    @Test
    void aWholeDocumentIsStoredWithItsWorkspacesAndBudgets() {
        JsonNode stored = ctl.get();
        assertThat(stored.path("revision").asLong()).isEqualTo(1);
        assertThat(stored.at("/workspaces/plots/priority").asText()).isEqualTo("high");
        assertThat(ctl.run("budgets", "show", "plots").json().path("free").asLong())
                .isEqualTo(1_000);
        assertThat(ctl.run("budgets", "show", "plots:seeds").json().path("free").asLong())
                .isZero();
    }

    @Test
    void applyingTheSameDocumentAgainChangesNothingAndGrantsNothing() {
        Outcome again = ctl.applyCompleteDocument();
        assertThat(again.json().path("changed").asBoolean()).isFalse();
        assertThat(again.json().path("revision").asLong()).isEqualTo(1);
        assertThat(ctl.run("budgets", "show", "plots").json().path("free").asLong())
                .isEqualTo(1_000);
    }

    @Test
    void aPartialDocumentChangesOnlyWhatItNames() {
        JsonNode before = ctl.get();
        ctl.runWithDocument("apply", "{\"presets\":{\"peak\":{\"queueLimit\":900}}}");
        JsonNode after = ctl.get();
        assertThat(after.at("/presets/peak/queueLimit").asInt()).isEqualTo(900);
        assertThat(after.at("/presets/peak/maxConcurrent").asInt()).isEqualTo(128);
        assertThat(after.path("workspaces")).isEqualTo(before.path("workspaces"));
        assertThat(after.path("pools")).isEqualTo(before.path("pools"));
    }

    @Test
    void nullRemovesAnEntry() {
        ctl.runWithDocument(
                "apply", "{\"workspaces\":{\"sheds\":null},\"pools\":{\"models\":{\"servers\":{\"runner-2\":null}}}}");
        JsonNode after = ctl.get();
        assertThat(after.at("/workspaces/sheds").isMissingNode()).isTrue();
        assertThat(after.at("/workspaces/plots").isObject()).isTrue();
        assertThat(after.at("/pools/models/servers").size()).isEqualTo(1);
    }

    @Test
    void diffNamesEachFieldWithBothValuesAndWritesNothing() {
        Outcome diff = ctl.runWithDocument("diff", "{\"activePreset\":\"peak\",\"weightStoreLoadsPerMinute\":30}");
        assertThat(diff.status()).isEqualTo(1);
        assertThat(diff.json().path("differences")).hasSize(1);
        assertThat(diff.json().at("/differences/0").toString()).contains("activePreset", "ordinary", "peak");
        assertThat(ctl.get().path("revision").asLong()).isEqualTo(1);
        assertThat(ctl.runWithDocument("diff", CtlFixture.completeDocument()).status())
                .isZero();
    }
}
