package io.hornbeamfield.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against requests that are never answered because their headers offer another protocol. */
final class HttpServerUpgradeTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static Stream<HttpRequest.BodyPublisher> bodies() {
        return Stream.of(
                HttpRequest.BodyPublishers.noBody(),
                HttpRequest.BodyPublishers.ofString("body"),
                // Without a known length, the client sends chunks.
                HttpRequest.BodyPublishers.fromPublisher(HttpRequest.BodyPublishers.ofString("body")));
    }

    @ParameterizedTest
    @MethodSource("bodies")
    void theClientOfTheJdkWithItsDefaultSettingsIsAnswered(HttpRequest.BodyPublisher body)
            throws IOException, InterruptedException {
        try (HttpServer server = HttpServer.builder()
                .route("*", "/*", x -> x.reply(200, Map.of(), x.body()))
                .start()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + "/jdk"))
                    .timeout(TIMEOUT)
                    .POST(body)
                    .build();
            var client = java.net.http.HttpClient.newHttpClient();
            // The second request finds the connection that the first one has left open.
            for (int i = 0; i < 2; i++) {
                HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
                assertThat(answer.statusCode()).isEqualTo(200);
                assertThat(answer.body()).isEqualTo(body.contentLength() == 0 ? "" : "body");
            }
        }
    }
}
