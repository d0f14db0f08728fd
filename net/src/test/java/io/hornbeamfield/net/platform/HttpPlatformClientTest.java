package io.hornbeamfield.net.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpServer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against one odd entry of the instance list that makes the others unreadable. */
final class HttpPlatformClientTest {
    private final HttpClient http = HttpClient.create("test");
    private volatile String list = "";
    private final HttpServer server = HttpServer.builder()
            .route("GET", "/instances", x -> x.replyJson(200, list.getBytes(StandardCharsets.UTF_8)))
            .start();

    @AfterEach
    void stop() {
        http.close();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"deep", "number", "address"})
    void instancesAreReadBesideAnOddEntry(String kind) {
        String odd =
                switch (kind) {
                    case "deep" -> "[".repeat(100_000) + "]".repeat(100_000);
                    case "number" -> "1" + "0".repeat(100_000);
                    default -> "\"10.0.0.1:99999\"";
                };
        list = "{\"instances\":[{\"id\":\"odd\",\"address\":" + odd
                + "},{\"id\":\"router-1\",\"address\":\"10.0.0.1:7\"}]}";
        PlatformClient platform = new HttpPlatformClient(http, "127.0.0.1:" + server.port(), "token");
        assertThat(platform.instances().join()).extracting(InstanceInfo::id).containsExactly("odd", "router-1");
    }
}
