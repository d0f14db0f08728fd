package io.hornbeamfield.ctl;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.net.settings.SettingsLoader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against sample configurations, demo keys and settings that no longer match the code. */
class DeployDocumentsTest {
    private static final Path ROOT = Path.of("..");

    private static String read(String path) throws IOException {
        return Files.readString(ROOT.resolve(path));
    }

    @ParameterizedTest
    @ValueSource(strings = {"quabbin", "lampka"})
    void eachFleetsDocumentIsAcceptedAndItsDemoKeysMatch(String fleet) throws IOException {
        try (CtlFixture ctl = new CtlFixture()) {
            String document = read("deploy/" + fleet + "/configuration.json");
            CtlFixture.Outcome outcome = ctl.runWithDocument("apply", document);
            assertThat(outcome.err()).isEmpty();
            JsonNode stored = ctl.get();
            JsonNode keys =
                    Json.parse(read("deploy/" + fleet + "/demo-keys.json").getBytes(UTF_8));
            assertThat(keys.size()).isEqualTo(stored.path("workspaces").size());
            keys.fields()
                    .forEachRemaining(k -> assertThat(stored.path("workspaces")
                                    .path(k.getKey())
                                    .at("/keyHashes/0")
                                    .asText())
                            .isEqualTo(Hashing.sha256()
                                    .hashString(k.getValue().asText(), UTF_8)
                                    .toString()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"quabbin", "lampka"})
    void eachFleetsToolSettingsAreAcceptedAndNameThePlatformOfItsRouters(String fleet) throws IOException {
        Path file = ROOT.resolve("deploy/" + fleet + "/hornbeamctl.json");
        CtlSettings settings = SettingsLoader.load(file, CtlSettings.class).fold(ok -> ok, refusal -> {
            throw new AssertionError(refusal.detail());
        });
        for (int i = 1; i <= 7; i++) {
            JsonNode router = Json.parse(
                    read("deploy/" + fleet + "/routers/router-" + i + ".json").getBytes(UTF_8));
            assertThat(router.path("platformAddress").asText()).isEqualTo(settings.platformAddress());
            assertThat(router.path("platformToken").asText()).isEqualTo(settings.platformToken());
            assertThat(settings.operatorToken())
                    .contains(router.path("operatorToken").asText());
        }
    }
}
