package io.hornbeamfield.router.traffic;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.http.HttpCall;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.net.http.HttpServer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ServiceCallTest {
    private final TestRouter router = new TestRouter("r1-00000001");
    private final List<String> ran = new CopyOnWriteArrayList<>();
    private volatile boolean breaksConnections;
    private final HttpServer service = HttpServer.builder()
            .route("*", "/*", x -> {
                ran.add(x.header("Idempotency-Key").orElse("none") + " " + x.path()
                        + x.rawQuery().orElse(""));
                if (breaksConnections) {
                    x.startStream(200, Map.of()).abort();
                } else {
                    x.reply(201, Map.of("Content-Type", "text/plain"), x.body());
                }
            })
            .start();

    @BeforeEach
    void addService() {
        router.load.add("fees", "s1", "127.0.0.1:" + service.port());
    }

    @AfterEach
    void stop() {
        router.close();
        service.close();
    }

    private HttpCall.Builder order(String key) {
        return router.post("/v1/services/fees/orders?plot=7")
                .header("Idempotency-Key", key)
                .body("fee".getBytes(UTF_8));
    }

    @Test
    void answerOfTheServiceIsPassedOnAndItsPriceIsBilled() {
        String key = router.key("orderone1");
        HttpReply reply = router.send(order(key));
        assertThat(reply.status()).isEqualTo(201);
        assertThat(reply.text()).isEqualTo("fee");
        assertThat(ran).containsExactly(key + " /ordersplot=7");
        assertThat(router.billing.bills)
                .singleElement()
                .satisfies(b -> assertThat(b.tokens()).isEqualTo(7));
        assertThat(router.budgets.spent()).isEqualTo(7);
    }

    /** Clients tell an answer of a service from a refusal of the router by the key. */
    @Test
    void answersOfServicesBearTheKeyAndRefusalsOfTheRouterDoNot() {
        String key = router.key("orderone1");
        assertThat(router.send(order(key)).headers()).containsEntry("idempotency-key", key);
        HttpReply refused = router.send(order(key).body("other".getBytes(UTF_8)));
        assertThat(refused.headers()).doesNotContainKey("idempotency-key");
    }

    @Test
    void repeatedKeyGetsTheSameAnswerWithoutASecondRun() {
        String key = router.key("orderone1");
        router.send(order(key));
        assertThat(router.send(order(key)).text()).isEqualTo("fee");
        assertThat(ran).hasSize(1);
        assertThat(router.billing.bills).hasSize(1);
    }

    @Test
    void sameKeyWithAnotherBodyIsRefused() {
        String key = router.key("orderone1");
        router.send(order(key));
        assertThat(Sse.code(router.send(order(key).body("other".getBytes(UTF_8)))))
                .isEqualTo(1009);
    }

    /** Calls have no prompt prefix; an idle pool must not send all of them to the same server. */
    @Test
    void callsAreSpreadOverIdleServers() {
        List<String> second = new CopyOnWriteArrayList<>();
        try (HttpServer other = HttpServer.builder()
                .route("*", "/*", x -> {
                    second.add(x.path());
                    x.replyJson(200, "{}".getBytes(UTF_8));
                })
                .start()) {
            router.load.add("fees", "s2", "127.0.0.1:" + other.port());
            for (int i = 0; i < 12; i++) {
                router.send(router.post("/v1/services/fees/prices"));
            }
        }
        assertThat(ran).hasSizeBetween(2, 10);
        assertThat(second).hasSizeBetween(2, 10);
    }

    @Test
    void callThatMustNotRunTwiceNeedsAKey() {
        HttpReply reply = router.send(router.post("/v1/services/fees/orders"));
        assertThat(Sse.code(reply)).isEqualTo(1008);
        assertThat(ran).isEmpty();
    }

    /** Another spelling of the path must not bypass the rule for non-repeatable calls. */
    @Test
    void otherSpellingsOfAPathAreRefused() {
        for (String path : List.of("//orders", "/%6frders", "/x/../orders", "/./orders", "/;a/orders")) {
            assertThat(Sse.code(router.send(router.post("/v1/services/fees" + path))))
                    .as(path)
                    .isEqualTo(1001);
        }
        assertThat(ran).isEmpty();
    }

    @Test
    void nonRepeatableCallMovesToAnotherServerWhenTheConnectionIsRefused() {
        router.load.add("fees", "s0", "127.0.0.1:1");
        for (int i = 0; i < 3; i++) {
            assertThat(router.send(order(router.key("ordermany" + i))).status()).isEqualTo(201);
        }
        assertThat(ran).hasSize(3);
        assertThat(router.budgets.spent()).isEqualTo(21);
    }

    @Test
    void nonRepeatableCallThatWasNotSentIsRefusedAsNotRun() {
        service.close();
        HttpReply reply = router.send(order(router.key("orderone1")));
        assertThat(Sse.ran(reply)).isEqualTo("no");
        assertThat(router.budgets.spent()).isZero();
    }

    @Test
    void brokenNonRepeatableCallIsNotSentAgainAndItsOutcomeIsUnknown() {
        breaksConnections = true;
        String key = router.key("orderone1");
        HttpReply reply = router.send(order(key));
        assertThat(Sse.code(reply)).isEqualTo(4001);
        assertThat(Sse.code(router.send(order(key)))).isEqualTo(4001);
        assertThat(ran).hasSize(1);
        assertThat(router.budgets.spent()).isEqualTo(7);
    }

    @Test
    void brokenRepeatableCallIsSentAgain() {
        breaksConnections = true;
        HttpReply reply = router.send(router.post("/v1/services/fees/prices"));
        assertThat(Sse.code(reply)).isEqualTo(4003);
        assertThat(ran).hasSize(4);
    }
}
