package io.hornbeamfield.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against orders of a paused router that take effect after a successor's, and against unfenced engines. */
class EngineOrderTest {
    private EngineFixture fixture = new EngineFixture(EngineStandIn.builder().modelLoad(Duration.ofMillis(60)));

    @AfterEach
    void close() {
        fixture.close();
    }

    private int order(int fence, String kind, String model) {
        return fixture.post(
                        "/orders",
                        "{\"fence\":" + fence + ",\"kind\":\"" + kind + "\",\"model\":\"" + model + "\",\"role\":\"\"}")
                .status();
    }

    private boolean loaded(String model) {
        return fixture.get("/load").path("models").toString().contains("\"" + model + "\"");
    }

    @Test
    void orderWithAnOldFencingNumberIsRefused() {
        assertThat(order(5, "load", "n")).isEqualTo(200);
        assertThat(order(4, "unload", "m")).isEqualTo(409);
        assertThat(order(5, "load", "n")).isEqualTo(200);
        assertThat(loaded("m")).isTrue();
    }

    @Test
    void engineWithoutFencingObeysOldOrders() {
        fixture.close();
        fixture = new EngineFixture(EngineStandIn.builder().checksFencing(false));
        assertThat(order(5, "load", "n")).isEqualTo(200);
        assertThat(order(4, "unload", "m")).isEqualTo(200);
        assertThat(loaded("m")).isFalse();
    }

    @Test
    void loadedModelIsShownAfterItsLoadTime() throws Exception {
        // The model must not be loaded before the first look, also when the test is delayed.
        fixture.close();
        fixture = new EngineFixture(EngineStandIn.builder().modelLoad(Duration.ofSeconds(2)));
        order(1, "load", "n");
        assertThat(loaded("n")).isFalse();
        EngineFixture.await(() -> loaded("n"));
    }

    @Test
    void leavingStateIsReportedWithTheLoad() {
        fixture.post("/control/faults", "{\"leaving\":true}");
        assertThat(fixture.get("/load").path("state").asText()).isEqualTo("leaving");
    }
}
