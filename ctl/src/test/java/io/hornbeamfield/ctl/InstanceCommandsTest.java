package io.hornbeamfield.ctl;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.json.Json;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a status that hides lagging or unresponsive routers, and against caller keys stored in plain text. */
class InstanceCommandsTest {
    private final CtlFixture ctl = new CtlFixture();
    private final HttpServer admin = HttpServer.builder()
            .route("GET", "/state", x -> {
                boolean known = x.header("Authorization").orElse("").equals("Bearer o");
                x.replyJson(
                        known ? 200 : 401,
                        "{\"control\":{\"incarnation\":\"r1-00000001\",\"configRevision\":1,\"configStale\":true},\"inFlight\":3}"
                                .getBytes(UTF_8));
            })
            .start();

    @BeforeEach
    void oneRouterAnswersAndOneIsSilent() {
        ctl.applyCompleteDocument();
        router("r1", "127.0.0.1:" + admin.port());
        router("r2", "127.0.0.1:1");
    }

    private void router(String id, String adminAddress) {
        Map<String, String> status =
                Map.of("incarnation", id + "-00000001", "adminAddress", adminAddress, "zone", "a", "state", "live");
        ctl.client.write("routers/" + id, 0, Json.tree(status)).join();
    }

    @AfterEach
    void stop() {
        admin.close();
        ctl.close();
    }

    @Test
    void statusShowsWhichRoutersLagAndWhichDoNotAnswer() {
        ctl.run("presets", "switch", "peak");
        JsonNode status = ctl.run("status").json();
        assertThat(status.path("revision").asLong()).isEqualTo(2);
        assertThat(status.path("activePreset").asText()).isEqualTo("peak");
        assertThat(status.at("/routers/0/note").asText()).isEqualTo("lags by 1, stale");
        assertThat(status.at("/routers/1/note").asText()).isEqualTo("no answer");
    }

    @Test
    void dumpPrintsTheStateOfOneRouter() {
        assertThat(ctl.run("dump", "r1").json().path("inFlight").asInt()).isEqualTo(3);
        CtlFixture.Outcome silent = ctl.run("dump", "r2");
        assertThat(silent.status()).isEqualTo(5);
        assertThat(silent.err()).contains("5002 INSTANCE_UNREACHABLE");
    }

    @Test
    void aHolderWhoseProcessAnswersIsNotReleasedEvenWithForce() {
        CtlFixture.Outcome refused =
                ctl.run("budgets", "release", "--holder", "r1-00000001", "--spent", "1", "--force");
        assertThat(refused.status()).isEqualTo(3);
        assertThat(refused.err()).contains("1012 CONFLICT", "answers at its admin address");
        assertThat(ctl.run("budgets", "release", "--holder", "r1-00000002", "--spent", "1")
                        .err())
                .contains("2003 NO_BUDGET");
    }

    @Test
    void aNewCallerKeyIsPrintedOnceAndOnlyItsHashIsStored() {
        String key = ctl.run("workspaces", "add", "barn", "--priority", "low")
                .json()
                .path("key")
                .asText();
        String second =
                ctl.run("workspaces", "add-key", "barn").json().path("key").asText();
        assertThat(key).startsWith("hbf_").hasSizeGreaterThan(30).isNotEqualTo(second);
        String shard = WorkspaceShard.shardOf("barn");
        String stored = ctl.store.load().shards().get(shard).toString() + ctl.get();
        assertThat(stored).doesNotContain(key).contains("\"priority\":\"low\"");
        assertThat(ctl.get().at("/workspaces/barn/keyHashes")).hasSize(2);
    }
}
