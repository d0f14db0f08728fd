package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.relay.InboundRequest;
import io.hornbeamfield.platform.standin.FakeBackendServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against callers whose client offers another protocol and who get no answer from any address of a daemon. */
final class UpgradeOfferForwardingTest {
    private final EntryFixture fleet = new EntryFixture();

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void theOfferIsNotForwardedAndTheRequestIsAnswered() {
        FakeBackendServer runner = fleet.runner("i-1", "plain");
        fleet.configure(1);
        fleet.startReady();
        try (Caller caller = fleet.call(
                "POST",
                "/write/x",
                "Connection: Upgrade, HTTP2-Settings, X-Hop",
                "Upgrade: h2c",
                "HTTP2-Settings: AAMAAABkAAQAAP__",
                "X-Hop: 1")) {
            caller.awaitText("HTTP/1.1 200").awaitText("done by i-1");
        }
        InboundRequest seen = runner.receivedRequests().get(0);
        assertThat(seen.body()).asString(StandardCharsets.UTF_8).isEqualTo("body");
        assertThat(seen.header("Upgrade")).isNull();
        assertThat(seen.header("HTTP2-Settings")).isNull();
        assertThat(seen.header("X-Hop")).isNull();
    }

    @Test
    void readinessAndAddressesAreAnsweredToTheClientOfTheJdk() throws IOException, InterruptedException {
        fleet.configure(1);
        fleet.startReady();
        assertThat(get(fleet.readiness(0) + "/readyz")).isEqualTo(200);
        assertThat(get(fleet.directory(0) + "/resolve?name=api.example&region=r&zone=north"))
                .isEqualTo(200);
    }

    private static int get(String target) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target))
                .timeout(Duration.ofSeconds(5))
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }
}
