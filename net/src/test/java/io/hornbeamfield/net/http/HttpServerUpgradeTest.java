package io.hornbeamfield.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against requests that are never answered because their headers offer another protocol. */
final class HttpServerUpgradeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Test
    void theClientOfTheJdkWithItsDefaultSettingsIsAnswered() throws IOException, InterruptedException {
        try (HttpServer server = HttpServer.builder()
                .route("*", "/*", x -> x.reply(200, Map.of(), x.body()))
                .start()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + "/jdk"))
                    .timeout(TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.ofString("body"))
                    .build();
            HttpResponse<String> answer =
                    java.net.http.HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(answer.body()).isEqualTo("body");
        }
    }
}
