package io.hornbeamfield.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.net.json.Json;
import io.hornbeamfield.standins.raw.AnswerCut;
import io.hornbeamfield.standins.raw.AnswerCut.Framing;
import io.hornbeamfield.standins.raw.RawResponse;
import io.hornbeamfield.standins.raw.RawResponse.End;
import io.hornbeamfield.standins.raw.RawServer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an answer of a router that was cut and is reported as complete, as not run, or twice in part. */
final class RouterAnswerEndTest {
    private static final String INCARNATION = "r1-00000001";
    private static final String PAID = "fee 7 is paid";

    private final RawServer router = RawServer.start(this::respond);
    private final HornbeamfieldClient client = HornbeamfieldClient.builder()
            .seedAddresses(router.address())
            .workspaceKey("k")
            .resumeAfterSilence(Duration.ofSeconds(10))
            .maxTries(3)
            .build();
    private final Map<String, Scenario> scenarios = new ConcurrentHashMap<>();

    /** The answers to one request, which names its scenario as its budget. */
    private static final class Scenario {
        private final AnswerCut cut;
        private final Framing framing;
        private final End end;
        private final int firstCut;
        private final int lastCut;
        private final List<String> keys = new ArrayList<>();
        private final StringBuffer received = new StringBuffer();

        Scenario(AnswerCut cut, Framing framing, End end, int firstCut, int lastCut) {
            this.cut = cut;
            this.framing = framing;
            this.end = end;
            this.firstCut = firstCut;
            this.lastCut = lastCut;
        }

        synchronized RawResponse respond(String head) {
            keys.add(RawServer.header(head, "Idempotency-Key"));
            String from = RawServer.header(head, "Hornbeamfield-From");
            boolean chat = head.startsWith("POST /v1/chat");
            String whole = chat ? stream(keys.get(0), from.isEmpty() ? 0 : Integer.parseInt(from)) : service();
            if (keys.size() < firstCut) {
                return RawResponse.ended(
                        AnswerCut.after("after two tokens", "\"offset\":1}\n\n", 0)
                                .apply()
                                .apply(whole),
                        End.CLOSED);
            }
            return keys.size() <= lastCut
                    ? RawResponse.ended(cut.apply().apply(whole), end)
                    : RawResponse.ended(whole, End.CLOSED);
        }

        private String stream(String id, int from) {
            List<String> events = new ArrayList<>();
            for (int i = from; i < 4; i++) {
                events.add(new String(
                        FakeRouter.event(id, i, "{\"content\":\"w" + i + " \"}", ""), StandardCharsets.US_ASCII));
            }
            events.add(new String(
                    FakeRouter.event(id, 4, "{}", ",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}"),
                    StandardCharsets.US_ASCII));
            events.add("data: [DONE]\n\n");
            return framing.response(
                    "HTTP/1.1 200 OK\r\nHornbeamfield-Run: r1\r\nContent-Type: text/event-stream\r\n", events);
        }

        private String service() {
            return framing.response("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", List.of(PAID));
        }

        @Override
        public String toString() {
            return cut + ", " + framing + ", " + end + " after " + received;
        }
    }

    @AfterEach
    void stop() {
        client.close();
        router.close();
    }

    private RawResponse respond(String head) {
        if (head.startsWith("GET /v1/addresses")) {
            return json(Map.of(
                    "validForSeconds",
                    15,
                    "now",
                    Instant.now().getEpochSecond(),
                    "routers",
                    List.of(Map.of("incarnation", INCARNATION, "address", router.address(), "zone", "a"))));
        }
        return head.startsWith("GET /v1/hello")
                ? json(Map.of("incarnation", INCARNATION))
                : scenarios.get(RawServer.header(head, "Hornbeamfield-Budget")).respond(head);
    }

    private static RawResponse json(Map<String, Object> body) {
        return RawResponse.json("200 OK", new String(Json.bytes(body), StandardCharsets.US_ASCII));
    }

    static Stream<Arguments> endsAndFramings() {
        return Stream.of(End.CLOSED, End.RESET)
                .flatMap(end -> Stream.of(Framing.values()).map(framing -> Arguments.of(end, framing)));
    }

    private static List<AnswerCut> cuts(Framing framing) {
        List<AnswerCut> cuts = new ArrayList<>(AnswerCut.inHead());
        cuts.addAll(AnswerCut.inFraming(framing));
        cuts.addAll(List.of(
                AnswerCut.after("in an event", "\"offset\":3", 0),
                AnswerCut.after("between events", "\"offset\":2}\n\n", 0),
                AnswerCut.after("before the usage", "\"offset\":3}\n\n", 0),
                AnswerCut.after("in the usage", "completion_tokens\":", 0),
                AnswerCut.after("after the usage", "completion_tokens\":4}}\n\n", 0),
                AnswerCut.after("in the end marker", "data: [DONE]", 0)));
        return cuts;
    }

    private CompletableFuture<Outcome> chat(String name, Scenario scenario) {
        scenarios.put(name, scenario);
        ChatRequest request = ChatRequest.forModel("m")
                .user("when to sow")
                .options(CallOptions.defaults().withBudget(name))
                .build();
        return client.chat(request, new AnswerListener() {
            @Override
            public void text(long offset, String content) {
                scenario.received.append(content);
            }

            @Override
            public void restarted() {
                scenario.received.append("| ");
            }
        });
    }

    private CompletableFuture<Outcome> order(String name, Scenario scenario) {
        scenarios.put(name, scenario);
        return client.call(ServiceCall.post("fees", "/orders")
                .json("{}")
                .options(CallOptions.defaults().withBudget(name))
                .build());
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("endsAndFramings")
    void aCutAnswerIsResumedWithoutALostOrRepeatedToken(End end, Framing framing) {
        Map<String, CompletableFuture<Outcome>> sent = new LinkedHashMap<>();
        for (AnswerCut cut : cuts(framing)) {
            for (int attempt : List.of(1, 2)) {
                String name = "b" + sent.size();
                sent.put(name, chat(name, new Scenario(cut, framing, end, attempt, attempt)));
            }
        }
        sent.forEach((name, outcome) -> {
            Scenario scenario = scenarios.get(name);
            assertThat(outcome.join()).as("%s", scenario).isInstanceOfSatisfying(Outcome.Answered.class, a -> {
                assertThat(a.text()).isEqualTo("w0 w1 w2 w3 ");
                assertThat(a.completionTokens()).isEqualTo(4);
            });
            assertThat(scenario.received).as("%s", scenario).hasToString("w0 w1 w2 w3 ");
            assertThat(Set.copyOf(scenario.keys)).as("%s", scenario).hasSize(1);
        });
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("endsAndFramings")
    void aCutAnswerThatIsNeverWholeLeavesTheOutcomeUnknown(End end, Framing framing) {
        Map<String, CompletableFuture<Outcome>> sent = new LinkedHashMap<>();
        for (AnswerCut cut : cuts(framing)) {
            for (int attempt : List.of(1, 2)) {
                String name = "b" + sent.size();
                if (!cut.afterContent()) {
                    sent.put(name, chat(name, new Scenario(cut, framing, end, attempt, 3)));
                }
            }
        }
        sent.forEach((name, outcome) -> {
            Scenario scenario = scenarios.get(name);
            assertThat(outcome.join()).as("%s", scenario).isInstanceOf(Outcome.OutcomeUnknown.class);
            assertThat("w0 w1 w2 w3 ").as("%s", scenario).startsWith(scenario.received.toString());
            assertThat(Set.copyOf(scenario.keys)).as("%s", scenario).hasSize(1);
            assertThat(scenario.keys).hasSize(3);
        });
    }

    private static List<AnswerCut> serviceCuts(Framing framing) {
        List<AnswerCut> cuts = new ArrayList<>(AnswerCut.inHead());
        cuts.addAll(AnswerCut.inFraming(framing));
        cuts.add(AnswerCut.after("in the body", "fee 7", 0));
        if (framing == Framing.CONNECTION) {
            // A router states the length of such an answer or sends chunks.
            cuts.add(AnswerCut.after("after the body", PAID, 0));
        }
        return cuts;
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("endsAndFramings")
    void aCutAnswerOfAServiceIsAskedForAgainWithTheSameKey(End end, Framing framing) {
        Map<String, CompletableFuture<Outcome>> sent = new LinkedHashMap<>();
        for (AnswerCut cut : serviceCuts(framing)) {
            String name = "b" + sent.size();
            sent.put(name, order(name, new Scenario(cut, framing, end, 1, framing == Framing.CONNECTION ? 3 : 1)));
        }
        sent.forEach((name, future) -> {
            Scenario scenario = scenarios.get(name);
            Outcome outcome = future.join();
            if (framing == Framing.CONNECTION) {
                assertThat(outcome).as("%s", scenario).isInstanceOf(Outcome.OutcomeUnknown.class);
            } else {
                assertThat(outcome)
                        .as("%s", scenario)
                        .isInstanceOfSatisfying(
                                Outcome.Answered.class,
                                a -> assertThat(a.text()).isEqualTo(PAID));
                assertThat(scenario.keys).as("%s", scenario).hasSize(2);
            }
            assertThat(Set.copyOf(scenario.keys)).as("%s", scenario).hasSize(1);
        });
    }

    /** Guards against a refusal that is read from a part of a router's answer. */
    @ParameterizedTest
    @EnumSource(names = {"CLOSED", "RESET"})
    void aCutRefusalLeavesTheOutcomeUnknown(End end) {
        String problem = "{\"code\":3001,\"detail\":\"busy\",\"ran\":\"no\"}";
        String refusal = Framing.LENGTH.response(
                "HTTP/1.1 503 Busy\r\nContent-Type: application/problem+json\r\n", List.of(problem + " "));
        AnswerCut cut =
                new AnswerCut("before the last byte", wire -> refusal.substring(0, refusal.length() - 1), false);
        assertThat(chat("chat", new Scenario(cut, Framing.CHUNKS, end, 1, 3)).join())
                .isInstanceOf(Outcome.OutcomeUnknown.class);
        assertThat(order("order", new Scenario(cut, Framing.LENGTH, end, 1, 3)).join())
                .isInstanceOf(Outcome.OutcomeUnknown.class);
    }

    /** Guards against a response that is no HTTP and is reported as the answer of a service. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999"})
    void anAnswerWithAnInvalidStatusIsAskedForAgainWithTheSameKey(String status) {
        AnswerCut invalid =
                new AnswerCut("status " + status, wire -> wire.replace(" 200 OK", " " + status + " X"), false);
        Outcome outcome = order("order", new Scenario(invalid, Framing.LENGTH, End.CLOSED, 1, 1))
                .join();
        assertThat(outcome).isInstanceOfSatisfying(Outcome.Answered.class, a -> {
            assertThat(a.status()).isEqualTo(200);
            assertThat(a.text()).isEqualTo(PAID);
        });
        assertThat(Set.copyOf(scenarios.get("order").keys)).hasSize(1);
    }
}
