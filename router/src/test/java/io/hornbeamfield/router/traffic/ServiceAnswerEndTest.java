package io.hornbeamfield.router.traffic;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.Lists;
import io.hornbeamfield.net.http.HttpReply;
import io.hornbeamfield.standins.raw.AnswerCut;
import io.hornbeamfield.standins.raw.AnswerCut.Framing;
import io.hornbeamfield.standins.raw.RawResponse;
import io.hornbeamfield.standins.raw.RawResponse.End;
import io.hornbeamfield.standins.raw.RawServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an answer of a service that was cut and reaches the caller as whole, or that was whole and does not.
 */
final class ServiceAnswerEndTest {
    private static final String HEAD = "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\n";
    private static final List<String> PARTS = List.of("fee 7 ", "is paid");
    private static final String WHOLE = "fee 7 is paid";
    private static final long PRICE = 7;
    private static final int SHORT_DEADLINE_MS = 400;
    private static final int LONG_DEADLINE_MS = 20_000;

    /** Below the number of retries that the router makes at once. */
    private static final int CONCURRENT_CUTS = 3;

    private final TestRouter router = new TestRouter("r1-00000001");
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, String> keys = new ConcurrentHashMap<>();
    private final Map<String, RawResponse> cutAnswers = new ConcurrentHashMap<>();
    private final RawServer service = RawServer.start(this::respond);

    @BeforeEach
    void addService() {
        router.load.add("fees", "s1", service.address());
    }

    @AfterEach
    void stop() {
        router.close();
        service.close();
    }

    /** Cuts the first answers to a key, as many as its nonce says. */
    private RawResponse respond(String head) {
        String nonce = RawServer.header(head, "Idempotency-Key").split("\\.")[2];
        int run = runs.merge(nonce, 1, Integer::sum);
        RawResponse cut = cutAnswers.get(nonce);
        return cut != null && run <= (nonce.startsWith("second") ? 2 : 1)
                ? cut
                : RawResponse.ended(Framing.LENGTH.response(HEAD, PARTS), End.CLOSED);
    }

    static Stream<Arguments> endsAndFramings() {
        return Stream.of(End.values())
                .flatMap(end -> Stream.of(Framing.values()).map(framing -> Arguments.of(end, framing)));
    }

    static Stream<Arguments> endsAndCuts() {
        return endsAndFramings()
                .map(Arguments::get)
                .flatMap(a -> Lists.partition(cuts((End) a[0], (Framing) a[1]), CONCURRENT_CUTS).stream()
                        .map(c -> Arguments.of(a[0], a[1], c)));
    }

    /** A body that ends with its connection has no sign of a cut other than a reset or silence. */
    private static List<AnswerCut> cuts(End end, Framing framing) {
        List<AnswerCut> cuts = new ArrayList<>(AnswerCut.inHead());
        cuts.addAll(AnswerCut.inFraming(framing));
        if (framing != Framing.CONNECTION || end != End.CLOSED) {
            cuts.add(AnswerCut.after("in the body", "fee 7 ", 0));
            cuts.add(AnswerCut.after("before the last byte of the body", "is pai", 0));
        }
        if (framing == Framing.CONNECTION && end != End.CLOSED) {
            cuts.add(AnswerCut.after("after the body", "is paid", 0));
        }
        return cuts;
    }

    private CompletableFuture<HttpReply> send(String nonce, String path, End end) {
        String key = keys.computeIfAbsent(nonce, router::key);
        int deadlineMs = end == End.SILENT ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS;
        return router.sendAsync(router.post("/v1/services/fees" + path)
                .header("Idempotency-Key", key)
                .header("Hornbeamfield-Deadline-Ms", Integer.toString(deadlineMs))
                .body("fee".getBytes(UTF_8)));
    }

    private static String cut(AnswerCut cut, Framing framing) {
        return cut.apply().apply(framing.response(HEAD, PARTS));
    }

    @ParameterizedTest(name = "{0}, {1}, {2}")
    @MethodSource("endsAndCuts")
    void aCutAnswerToARepeatableCallIsAskedForAgain(End end, Framing framing, List<AnswerCut> cuts) {
        Map<String, CompletableFuture<HttpReply>> sent = new LinkedHashMap<>();
        for (AnswerCut cut : cuts) {
            for (String attempt : List.of("first", "second")) {
                String nonce = attempt + "cut" + sent.size() + "x";
                cutAnswers.put(nonce, RawResponse.ended(cut(cut, framing), end));
                sent.put(nonce, send(nonce, "/prices", end));
            }
        }
        sent.forEach((nonce, future) -> {
            HttpReply reply = future.join();
            if (end == End.SILENT) {
                assertThat(reply.text()).as(nonce).contains("\"code\":4003", "\"ran\":\"unknown\"");
            } else {
                assertThat(reply.status()).as(nonce).isEqualTo(201);
                assertThat(reply.text()).as(nonce).isEqualTo(WHOLE);
                assertThat(runs.get(nonce)).as(nonce).isEqualTo(nonce.startsWith("second") ? 3 : 2);
            }
        });
        assertThat(router.billing.bills)
                .hasSize(sent.size())
                .allSatisfy(b -> assertThat(b.tokens())
                        .isEqualTo(
                                end == End.SILENT
                                        ? PRICE
                                        : PRICE * runs.get(b.requestId().split("[./]")[2])));
        assertThat(router.budgets.openReservations()).isZero();
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("endsAndFramings")
    void aCutAnswerToACallThatMustNotRunTwiceLeavesItsOutcomeUnknown(End end, Framing framing) {
        Map<String, CompletableFuture<HttpReply>> sent = new LinkedHashMap<>();
        for (AnswerCut cut : cuts(end, framing)) {
            String nonce = "firstcut" + sent.size() + "x";
            cutAnswers.put(nonce, RawResponse.ended(cut(cut, framing), end));
            sent.put(nonce, send(nonce, "/orders", end));
        }
        sent.forEach((nonce, future) -> {
            assertThat(future.join().text()).as(nonce).contains("\"code\":4001", "\"ran\":\"unknown\"");
            assertThat(send(nonce, "/orders", end).join().text()).as(nonce).contains("\"code\":4001");
        });
        assertThat(runs).allSatisfy((nonce, n) -> assertThat(n).isEqualTo(1));
        assertThat(router.billing.bills)
                .hasSize(sent.size())
                .allSatisfy(b -> assertThat(b.tokens()).isEqualTo(PRICE));
        assertThat(router.budgets.spent()).isEqualTo(PRICE * sent.size());
        assertThat(router.budgets.openReservations()).isZero();
    }

    /**
     * Without a length and chunks, the answer counted as broken: repeatable calls ran four times, others ended unknown.
     */
    @ParameterizedTest
    @EnumSource
    void aWholeAnswerIsDelivered(Framing framing) {
        for (String path : List.of("/prices", "/orders")) {
            String nonce = "first" + path.substring(1);
            cutAnswers.put(nonce, RawResponse.ended(framing.response(HEAD, PARTS), End.CLOSED));
            HttpReply reply = send(nonce, path, End.CLOSED).join();
            assertThat(reply.status()).isEqualTo(201);
            assertThat(reply.text()).isEqualTo(WHOLE);
            assertThat(runs).containsEntry(nonce, 1);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nContent-Length: 13\r\n",
                "Content-Length: 13\r\nContent-Length: 4\r\n",
                "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
                "Transfer-Encoding: gzip\r\n"
            })
    void anAnswerWithoutACertainLengthIsNotDelivered(String fields) {
        cutAnswers.put("firstorder", RawResponse.ended(HEAD + fields + "\r\n" + WHOLE, End.CLOSED));
        HttpReply reply = send("firstorder", "/orders", End.CLOSED).join();
        assertThat(reply.text())
                .contains("\"code\":4001", "\"ran\":\"unknown\"")
                .doesNotContain("fee 7");
    }

    /** Guards against a response that is no HTTP and reaches the caller as an answer of the service. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999"})
    void anAnswerWithAnInvalidStatusIsNotDelivered(String status) {
        cutAnswers.put(
                "firstorder",
                RawResponse.ended("HTTP/1.1 " + status + " Trouble\r\nContent-Length: 13\r\n\r\n" + WHOLE, End.CLOSED));
        HttpReply reply = send("firstorder", "/orders", End.CLOSED).join();
        assertThat(reply.text())
                .contains("\"code\":4001", "\"ran\":\"unknown\"")
                .doesNotContain("fee 7");
    }
}
