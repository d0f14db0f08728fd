package io.hornbeamfield.ctl;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.core.result.ResultCode;
import io.hornbeamfield.ctl.internal.CommandException;
import io.hornbeamfield.ctl.internal.ConfigDraft;
import io.hornbeamfield.ctl.internal.StoredConfig;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.platform.PlatformFaults;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against lost updates between concurrent changes, and against lost answers reported as conflicts. */
class ConfigRaceTest {
    private final CtlFixture ctl = new CtlFixture();

    @BeforeEach
    void applyCompleteDocument() {
        ctl.applyCompleteDocument();
    }

    @AfterEach
    void stop() {
        ctl.close();
    }

    private static ConfigDraft draft(StoredConfig stored) {
        return ConfigDraft.from(stored.head().orElseThrow(), stored.workspaces());
    }

    @Test
    void ofAPresetSwitchAndARetirementOneIsRefusedWithTheCurrentRevision() {
        StoredConfig seenBySwitch = ctl.store.load();
        assertThat(ctl.run("drain", "models", "runner-1").status()).isZero();
        assertThat(ctl.run("retire", "models", "runner-1").status()).isZero();
        assertThatThrownBy(
                        () -> ctl.store.commit(seenBySwitch, draft(seenBySwitch).withActivePreset("peak")))
                .isInstanceOfSatisfying(
                        CommandException.class, e -> assertThat(e.code()).isEqualTo(ResultCode.CONFLICT))
                .hasMessageContaining("the current revision is 3")
                .hasMessageContaining("repeat the command");
        assertThat(ctl.get().path("activePreset").asText()).isEqualTo("ordinary");
        assertThat(ctl.get().at("/pools/models/servers").has("runner-1")).isFalse();
    }

    @Test
    void aWriteWhoseAnswerIsLostIsRecognisedByItsChangeId() {
        ctl.platform.inject(PlatformFaults.NONE.with(Json.tree(Map.of("loseAnswers", 1.0))));
        assertThat(ctl.run("presets", "switch", "peak").status()).isZero();
        assertThat(ctl.run("workspaces", "add", "barn").status()).isZero();
        ctl.platform.inject(PlatformFaults.NONE);
        assertThat(ctl.get().path("revision").asLong()).isEqualTo(3);
        assertThat(ctl.get().path("activePreset").asText()).isEqualTo("peak");
        assertThat(ctl.get().at("/workspaces/barn").isObject()).isTrue();
    }

    @Test
    void aShardThatAnUnfinishedChangeLeftBehindDoesNotBlockTheNextChange() {
        String shard = WorkspaceShard.shardOf("barn");
        ctl.client
                .write("config/workspaces/" + shard + "/2", 0, Json.tree(new WorkspaceShard(Map.of())))
                .join();
        assertThat(ctl.run("workspaces", "add", "barn").status()).isZero();
        assertThat(ctl.get().at("/workspaces/barn").isObject()).isTrue();
        assertThat(ctl.store.load().head().orElseThrow().workspaceShards()).containsEntry(shard, 3L);
    }

    @Test
    void onlyTheShardRevisionInForceAndTheOneBeforeItAreKept() {
        String shard = WorkspaceShard.shardOf("barn");
        ctl.run("workspaces", "add", "barn");
        for (int i = 0; i < 3; i++) {
            ctl.run("workspaces", "add-key", "barn");
        }
        assertThat(ctl.client
                        .list("config/workspaces/" + shard + "/", "", 100)
                        .join()
                        .objects())
                .extracting(o -> o.key().substring(o.key().lastIndexOf('/') + 1))
                .containsExactly("4", "5");
        assertThat(ctl.get().at("/workspaces/barn/keyHashes")).hasSize(4);
    }

    @Test
    void noShardKeyIsWrittenAgainWithAnotherContentAfterItWasRemoved() {
        String shard = WorkspaceShard.shardOf("barn");
        for (int i = 2; i <= 9; i++) {
            ctl.client
                    .write("config/workspaces/" + shard + "/" + i, 0, Json.tree(new WorkspaceShard(Map.of())))
                    .join();
        }
        ctl.run("workspaces", "add", "barn");
        ctl.run("workspaces", "add-key", "barn");
        ctl.runWithDocument("apply", "{\"workspaces\":{\"barn\":null}}");
        ctl.run("workspaces", "add", "barn");
        assertThat(ctl.get().path("revision").asLong()).isEqualTo(5);
        assertThat(ctl.store.load().head().orElseThrow().workspaceShards()).containsEntry(shard, 13L);
    }

    @Test
    void anOutageWritesNothingAndTheCommandSaysSo() {
        ctl.platform.inject(PlatformFaults.NONE.withOutage(true));
        CtlFixture.Outcome outcome = ctl.run("presets", "switch", "peak");
        assertThat(outcome.status()).isEqualTo(5);
        assertThat(outcome.err()).contains("5001 PLATFORM_UNAVAILABLE");
        ctl.platform.inject(PlatformFaults.NONE);
        assertThat(ctl.get().path("activePreset").asText()).isEqualTo("ordinary");
    }
}
