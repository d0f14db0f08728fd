package io.hornbeamfield.load;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.load.internal.LoadReport;
import io.hornbeamfield.load.internal.LoadRun;
import io.hornbeamfield.net.http.HttpExchange;
import io.hornbeamfield.net.http.HttpServer;
import io.hornbeamfield.net.http.ResponseStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LoadRunTest {
    private volatile boolean silent;
    private final HttpServer router = HttpServer.builder()
            .route("GET", "/v1/addresses", this::addresses)
            .route("POST", "/v1/chat/completions", this::chat)
            .start();

    @AfterEach
    void stop() {
        router.close();
    }

    private String address() {
        return "127.0.0.1:" + router.port();
    }

    private void addresses(HttpExchange x) {
        x.replyJson(
                200,
                ("{\"validForSeconds\":15,\"now\":1,\"routers\":[{\"incarnation\":\"r1-00000001\",\"address\":\""
                                + address() + "\",\"zone\":\"a\"}]}")
                        .getBytes(UTF_8));
    }

    private void chat(HttpExchange x) {
        if (silent) {
            return;
        }
        String id = x.header("Idempotency-Key").orElseThrow();
        ResponseStream s = x.startStream(200, Map.of("Content-Type", "text/event-stream"));
        for (int i = 0; i < 3; i++) {
            s.write(("data: {\"id\":\"" + id + "\",\"choices\":[{\"delta\":{\"content\":\"w \"}}],\"offset\":" + i
                            + "}\n\n")
                    .getBytes(UTF_8));
        }
        s.write(("data: {\"id\":\"" + id + "\",\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":3}}\n\n"
                        + "data: [DONE]\n\n")
                .getBytes(UTF_8));
        s.end();
    }

    private LoadReport run(int maxInFlight, long deadlineMs) throws InterruptedException {
        Trace trace = TraceGenerator.seeded(3)
                .ratePerSecond(100)
                .lasting(Duration.ofSeconds(1))
                .deadline(Duration.ofMillis(deadlineMs))
                .generate(Profile.STEADY);
        try (LoadRun run = new LoadRun(new LoadTargets(List.of(address()), Map.of("plots", "k"), ""), maxInFlight, 2)) {
            LoadReport report = run.run(trace);
            assertThat(report.sent() + report.notSent())
                    .isEqualTo(trace.entries().size());
            return report;
        }
    }

    @Test
    void everyRequestOfTheTraceIsReported() throws Exception {
        LoadReport report = run(100, 5_000);
        assertThat(report.wholeByOutcome()).containsOnlyKeys("answered");
        assertThat(report.answeredWithinDeadline()).isEqualTo(report.sent());
        assertThat(report.tokens()).isEqualTo(5 * report.sent());
        assertThat(report.timeToFirstToken().count()).isEqualTo(report.sent());
        assertThat(report.betweenTokens().count()).isEqualTo(2 * report.sent());
        assertThat(report.table()).contains("whole: answered");
    }

    /** Requests without an answer must not keep the tool running or grow without limit. */
    @Test
    void silentRouterDoesNotKeepTheRunOpen() throws Exception {
        silent = true;
        LoadReport report = run(10, 400);
        assertThat(report.notSent()).isPositive();
        assertThat(report.answeredWithinDeadline()).isZero();
        assertThat(report.seconds()).isLessThan(8);
    }
}
