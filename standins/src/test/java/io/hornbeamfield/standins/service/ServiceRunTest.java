package io.hornbeamfield.standins.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpClient;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.json.Json;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a service record that misses a second run of a non-repeatable call. */
class ServiceRunTest {
    private final ServiceStandIn service = ServiceStandIn.builder().start();
    private final HttpClient http = HttpClient.create("test");

    @AfterEach
    void close() {
        http.close();
        service.close();
    }

    private CompletableFuture<HttpReply> order(String key) {
        return http.send(HttpCall.post("http://" + service.address() + "/orders")
                .header("Idempotency-Key", key)
                .header("X-Workspace", "shop")
                .json("{}")
                .timeout(Duration.ofMillis(500))
                .build());
    }

    private void inject(String json) {
        http.send(HttpCall.post("http://" + service.address() + "/control/faults")
                        .json(json)
                        .build())
                .join();
    }

    @Test
    void eachRunOfAKeyIsCountedAndAnswered() {
        HttpReply reply = order("k1").join();
        order("k1").join();
        order("k2").join();
        assertThat(service.records()).extracting(ServiceRecord::key).containsExactly("k1", "k2");
        assertThat(service.records()).extracting(ServiceRecord::count).containsExactly(2, 1);
        assertThat(Json.parse(reply.body()).path("reply").asText())
                .isEqualTo(ServiceStandIn.expectedReply("k1", "{}".getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void silentCallHasRunAlthoughItGetsNoAnswer() {
        inject("{\"silentAfterRun\":1}");
        assertThatThrownBy(() -> order("k1").join()).hasMessageContaining("no answer within");
        assertThat(order("k2").join().status()).isEqualTo(200);
        assertThat(service.records()).hasSize(2);
    }

    @Test
    void brokenCallHasRunAlthoughItsConnectionCloses() {
        inject("{\"brokenAfterRun\":1}");
        assertThatThrownBy(() -> order("k1").join()).hasMessageContaining("closed before");
        assertThat(service.records()).hasSize(1);
    }

    @Test
    void delayedCallIsCountedAsRunningMeanwhile() throws Exception {
        inject("{\"delayMs\":200}");
        long start = System.nanoTime();
        var reply = order("k1");
        while (running() == 0) {
            Thread.sleep(1);
        }
        reply.join();
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isGreaterThanOrEqualTo(Duration.ofMillis(200));
        assertThat(running()).isZero();
    }

    private int running() {
        return Json.parse(http.send(HttpCall.get("http://" + service.address() + "/load")
                                .build())
                        .join()
                        .body())
                .path("running")
                .asInt();
    }
}
