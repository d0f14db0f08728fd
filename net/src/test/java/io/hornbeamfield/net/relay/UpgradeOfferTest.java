package io.hornbeamfield.net.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are never answered because their headers offer another protocol. */
final class UpgradeOfferTest {
    private static final int TIMEOUT_MS = 5_000;
    private static final String OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n";

    private final RelayTransport transport = RelayTransport.start("test", new Serial());
    private final List<String> seen = new CopyOnWriteArrayList<>();
    private int port;

    @BeforeEach
    void listen() {
        port = transport.listen("127.0.0.1:0", () -> InboundLimits.DEFAULT, r -> {
            seen.add(r.method() + " " + r.path() + " " + new String(r.body(), StandardCharsets.US_ASCII));
            r.reply(200, List.of(), "ok".getBytes(StandardCharsets.US_ASCII));
        });
    }

    @AfterEach
    void stop() {
        transport.close();
    }

    private static String request(String path, String framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + OFFER + framing;
    }

    /** Sends requests on one connection, the last of which closes it, and returns all answers. */
    private String send(boolean singleBytes, String... requests) throws IOException, InterruptedException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(TIMEOUT_MS);
            s.setTcpNoDelay(true);
            OutputStream out = s.getOutputStream();
            for (byte b : String.join("", requests).getBytes(StandardCharsets.US_ASCII)) {
                out.write(b);
                Thread.sleep(singleBytes ? 1 : 0);
            }
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestsOnAKeptConnectionAreAnsweredInOrder(boolean singleBytes) throws IOException, InterruptedException {
        String answers = send(
                singleBytes,
                request("/length", "Content-Length: 4\r\n\r\nbody"),
                request("/chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
                "GET /none HTTP/1.1\r\nHost: h\r\n" + OFFER + "\r\n",
                "GET /plain HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        assertThat(answers.split("HTTP/1.1 200", -1)).hasSize(5);
        assertThat(answers).doesNotContainIgnoringCase("upgrade");
        assertThat(seen).containsExactly("POST /length body", "POST /chunks body", "GET /none ", "GET /plain ");
    }

    @Test
    void theClientOfTheJdkWithItsDefaultSettingsIsAnswered() throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/jdk"))
                .timeout(Duration.ofMillis(TIMEOUT_MS))
                .POST(HttpRequest.BodyPublishers.ofString("body"))
                .build();
        HttpResponse<String> answer = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.version()).isEqualTo(HttpClient.Version.HTTP_1_1);
        assertThat(seen).containsExactly("POST /jdk body");
    }
}
