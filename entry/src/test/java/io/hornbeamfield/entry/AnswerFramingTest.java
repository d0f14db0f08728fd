package io.hornbeamfield.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against answers whose head leaves their end or their coding open and that reach callers as whole. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class AnswerFramingTest {
    private static final String EVENT = "id: 1\ndata: piece\n\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String CHUNKS = RawServer.chunk(EVENT) + "0\r\n\r\n";
    private static final String LENGTH = "Content-Length: " + EVENT.length() + "\r\n";
    private static final String ANSWER = "HTTP/1.1 200 OK\r\n$";

    private final EntryFixture fleet = new EntryFixture();
    private final List<RawServer> servers = new ArrayList<>();
    private final Map<String, String> answers = new ConcurrentHashMap<>();

    @BeforeAll
    void start() {
        for (String service : new String[] {"model", "plain"}) {
            servers.add(RawServer.start(fleet.store, "i-" + service, service, this::respond));
        }
        fleet.configure(1);
        fleet.startReady();
        EntryFixture.await(
                () -> fleet.entries.get(0).blackboard().servers("model").size() == 1
                        && fleet.entries.get(0).blackboard().servers("plain").size() == 1);
    }

    @AfterAll
    void stop() {
        fleet.close();
        servers.forEach(RawServer::close);
    }

    private boolean respond(String head, OutputStream out) throws IOException {
        String answer = answers.get(RawServer.header(head, "X-Attempt-Id"));
        RawServer.write(out, answer.replace("$", RawServer.signed(head) + "Content-Type: text/event-stream\r\n"));
        return false;
    }

    private ReceivedAnswer call(String path, String answer) {
        String id = "a-" + answers.size();
        answers.put(id, answer);
        try (Caller caller = Caller.send(
                fleet.address(0), "POST", path, EntryFixture.KEY, "X-Attempt-Id: " + id, EntryFixture.DEADLINE)) {
            return ReceivedAnswer.of(caller.all());
        }
    }

    static Stream<Arguments> invalidAnswers() {
        return Stream.of(
                answer("an encoded body", ANSWER + "Content-Encoding: gzip\r\n" + LENGTH + "\r\n" + EVENT),
                answer("an encoded body in chunks", ANSWER + "Content-Encoding: br\r\n" + CHUNKED + "\r\n" + CHUNKS),
                answer("two differing lengths", ANSWER + LENGTH + "Content-Length: 90\r\n\r\n" + EVENT),
                answer("a shorter second length", ANSWER + LENGTH + "Content-Length: 8\r\n\r\n" + EVENT),
                answer("two lengths in a field", ANSWER + "Content-Length: 19, 90\r\n\r\n" + EVENT),
                answer("a negative length", ANSWER + "Content-Length: -1\r\n\r\n" + EVENT),
                answer("a length that is no number", ANSWER + "Content-Length: x9\r\n\r\n" + EVENT),
                answer("a length with a unit", ANSWER + "Content-Length: 90 B\r\n\r\n" + EVENT),
                answer("a hexadecimal length", ANSWER + "Content-Length: 0x90\r\n\r\n" + EVENT),
                answer("a length with a sign", ANSWER + "Content-Length: +90\r\n\r\n" + EVENT),
                answer("a length that overflows", ANSWER + "Content-Length: 99999999999999999999\r\n\r\n" + EVENT),
                answer("a length of 2^64", ANSWER + "Content-Length: 18446744073709551616\r\n\r\n" + EVENT),
                answer("an empty length", ANSWER + "Content-Length: \r\n\r\n" + EVENT),
                answer("a folded length", ANSWER + "Content-Length:\r\n 90\r\n\r\n" + EVENT),
                answer("a length and a space", ANSWER + "Content-Length : 90\r\n\r\n" + EVENT),
                answer("a length without a colon", ANSWER + "Content-Length 90\r\n\r\n" + EVENT),
                answer("an unknown transfer coding", ANSWER + "Transfer-Encoding: gzip\r\n\r\n" + EVENT),
                answer("a coding before chunks", ANSWER + "Transfer-Encoding: gzip, chunked\r\n\r\n" + CHUNKS),
                answer("a coding after chunks", ANSWER + "Transfer-Encoding: chunked, gzip\r\n\r\n" + CHUNKS),
                answer("a misspelt coding", ANSWER + "Transfer-Encoding: xchunked\r\n\r\n" + EVENT),
                answer("a coding and a length", ANSWER + "Transfer-Encoding: gzip\r\n" + LENGTH + "\r\n" + EVENT),
                answer(
                        "a length that is met, and chunks without an end",
                        ANSWER + CHUNKED + LENGTH + "\r\n" + RawServer.chunk(EVENT)),
                answer(
                        "a length before chunks without an end",
                        ANSWER + LENGTH + CHUNKED + "\r\n" + RawServer.chunk(EVENT)),
                answer("a chunk size that is no number", ANSWER + CHUNKED + "\r\n" + RawServer.chunk(EVENT) + "zz\r\n"),
                answer("a negative chunk size", ANSWER + CHUNKED + "\r\n" + RawServer.chunk(EVENT) + "-1\r\n\r\n"),
                answer(
                        "a chunk size that overflows",
                        ANSWER + CHUNKED + "\r\n" + RawServer.chunk(EVENT) + "10000000000000000\r\n\r\n"),
                answer("a chunk that is too long", ANSWER + CHUNKED + "\r\n4\r\n" + EVENT + "\r\n0\r\n\r\n"),
                answer(
                        "a chunk that is longer than its size, up to the end of its line",
                        ANSWER + CHUNKED + "\r\n" + RawServer.chunk(EVENT).replace("\n\n", "\n\nxx") + "0\r\n\r\n"),
                answer("HTTP/1.0 and a short body", "HTTP/1.0 200 OK\r\n$Content-Length: 90\r\n\r\n" + EVENT),
                answer(
                        "HTTP/1.0 and chunks without an end",
                        "HTTP/1.0 200 OK\r\n$" + CHUNKED + "\r\n" + RawServer.chunk(EVENT)),
                answer("another version", "HTTP/2.0 200 OK\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("another protocol", "ICY 200 OK\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("no version", "200 OK\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("a status of two digits", "HTTP/1.1 20\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("a status that is no number", "HTTP/1.1 2x0 OK\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("an interim head and a cut head", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Att"),
                answer("two interim heads and no other", "HTTP/1.1 103 Early Hints\r\n$\r\n".repeat(2)),
                answer("an interim head with a body", "HTTP/1.1 103 Early Hints\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("another protocol by an upgrade", "HTTP/1.1 101 Switching\r\n$Upgrade: x\r\n\r\n" + EVENT),
                answer("an offer to upgrade", ANSWER + "Upgrade: x\r\n" + LENGTH + "\r\n" + EVENT),
                answer("chunks and an offer to upgrade", ANSWER + "Upgrade: x\r\n" + CHUNKED + "\r\n" + CHUNKS),
                answer("no signature", "HTTP/1.1 200 OK\r\n" + LENGTH + "\r\n" + EVENT),
                answer("a body without a head", EVENT));
    }

    static Stream<Arguments> validAnswers() {
        return Stream.of(
                answer("a length", ANSWER + LENGTH + "\r\n" + EVENT),
                answer("chunks", ANSWER + CHUNKED + "\r\n" + CHUNKS),
                answer("chunks in capitals", ANSWER + "Transfer-Encoding: Chunked\r\n\r\n" + CHUNKS),
                answer(
                        "a length that its chunks override",
                        ANSWER + "Content-Length: 4\r\n" + CHUNKED + "\r\n" + CHUNKS),
                answer("a trailer", ANSWER + CHUNKED + "\r\n" + RawServer.chunk(EVENT) + "0\r\nX-T: x\r\n\r\n"),
                answer("the end of the connection", ANSWER + "\r\n" + EVENT),
                answer("HTTP/1.0", "HTTP/1.0 200 OK\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n$\r\n" + EVENT),
                answer("no reason", "HTTP/1.1 200\r\n$" + LENGTH + "\r\n" + EVENT),
                answer("an interim head before", "HTTP/1.1 100 Continue\r\n\r\n" + ANSWER + LENGTH + "\r\n" + EVENT));
    }

    private static Arguments answer(String name, String bytes) {
        return Arguments.of(name, bytes);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidAnswers")
    void anAnswerWithoutAClearEndDoesNotLookComplete(String name, String answer) {
        ReceivedAnswer stream = call("/report/x", answer);
        assertThat(stream.complete() && stream.status() == 200).as("%s", stream).isFalse();
        assertThat(stream.status()).as("%s", stream).isIn(200, 502);
        assertThat(stream.body()).as("%s", stream).matches(b -> stream.status() == 502 || EVENT.equals(b));
        ReceivedAnswer call = call("/write/x", answer);
        assertThat(call.status()).as("%s", call).isEqualTo(502);
        assertThat(call.isSigned()).isFalse();
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("validAnswers")
    void aWholeAnswerIsDelivered(String name, String answer) {
        for (String path : new String[] {"/report/x", "/write/x"}) {
            ReceivedAnswer received = call(path, answer);
            assertThat(received.status()).as("%s", received).isEqualTo(200);
            assertThat(received.complete()).as("%s", received).isTrue();
            assertThat(received.body()).isEqualTo(EVENT);
        }
    }

    @Test
    void anEmptyChunkSizeDoesNotEndAnAnswer() {
        anAnswerWithoutAClearEndDoesNotLookComplete(
                "an empty chunk size", ANSWER + CHUNKED + "\r\n" + RawServer.chunk(EVENT) + "\r\n\r\n");
    }

    /** Such an answer has no body, whatever its server sends after the head. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("bodilessAnswers")
    void theBytesAfterAnAnswerWithoutABodyAreDropped(int status) {
        String head = "HTTP/1.1 " + status + " Nothing\r\n$" + LENGTH + "\r\n";
        ReceivedAnswer call = call("/write/x", head + EVENT);
        assertThat(call.status()).isEqualTo(status);
        assertThat(call.body()).isEmpty();
        ReceivedAnswer stream = call("/report/x", head + EVENT);
        assertThat(stream.status()).as("%s", stream).isEqualTo(status == 304 ? 304 : 502);
        assertThat(stream.body()).doesNotContain("piece");
    }

    static Stream<Integer> bodilessAnswers() {
        return Stream.of(204, 205, 304);
    }
}
